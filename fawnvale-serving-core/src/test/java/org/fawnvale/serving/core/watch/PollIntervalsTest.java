package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against intervals that let daemons send to a draining node after the deadline. */
class PollIntervalsTest {

  private static final int MESSAGES_MILLIS = 300;

  /** A watcher sends an urgent message as soon as it holds its lock. */
  private static final int URGENT_MESSAGE_MILLIS = 25;

  /** Silence of a watcher after which the next daemon of its data centre polls the store. */
  private static final int TIMEOUT_MILLIS = 500;

  /** How long a daemon that has used up its CPU quota may be throttled. */
  private static final int THROTTLED_MILLIS = 100;

  private static final int TICK_MILLIS = 100;
  private static final int COPY_MILLIS = 100;

  @ParameterizedTest
  @ValueSource(ints = {1_500, 2_000, 3_000, 4_000, 60_000})
  void lastDaemonKnowsOfDrainingNodeWellBeforeDeadline(int deadlineMillis) {
    PollIntervals intervals = new PollIntervals(deadlineMillis);
    int knownMillis =
        intervals.intervalMillis()
            + MESSAGES_MILLIS
            + intervals.copyDelays().minIntervalMillis()
            + COPY_MILLIS
            + TICK_MILLIS;
    assertThat(knownMillis).isLessThan(deadlineMillis * 3 / 4);
  }

  /** The watcher fails just before its next poll, and the daemons are throttled. */
  @ParameterizedTest
  @ValueSource(ints = {2_000, 3_000, 4_000, 60_000})
  void lastDaemonKnowsBeforeDeadlineWhenWatcherFails(int deadlineMillis) {
    PollIntervals intervals = new PollIntervals(deadlineMillis);
    int knownMillis =
        intervals.intervalMillis()
            + TIMEOUT_MILLIS
            + TICK_MILLIS
            + URGENT_MESSAGE_MILLIS
            + intervals.copyDelays().minIntervalMillis()
            + COPY_MILLIS
            + TICK_MILLIS
            + 2 * THROTTLED_MILLIS;
    assertThat(knownMillis).isLessThan(deadlineMillis);
  }

  @ParameterizedTest
  @ValueSource(ints = {2_000, 3_000, 4_000})
  void watchersAndLeaderMakeFewerCallsThanAtFixedIntervals(int deadlineMillis) {
    PollIntervals intervals = new PollIntervals(deadlineMillis);
    double calls =
        5 * 1_000.0 / intervals.intervalMillis() + 1_000.0 / intervals.leaderIntervalMillis(false);
    double callsAtFixedIntervals = 5 * 1_000.0 / 300 + 1_000.0 / 120;
    assertThat(calls / callsAtFixedIntervals).isLessThan(deadlineMillis == 4_000 ? 0.37 : 0.57);
  }
}
