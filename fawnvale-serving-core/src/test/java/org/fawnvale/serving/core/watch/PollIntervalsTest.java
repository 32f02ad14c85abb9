package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** However long daemons rest, a node that leaves is left alone in time. */
class PollIntervalsTest {

  private static final int NOTES_MILLIS = 300;

  /** A watcher tells at once that a node leaves; the note is sent when its lock is free. */
  private static final int NOTE_MILLIS = 25;

  /** How long a watcher must be silent until the next one of its data centre watches. */
  private static final int SILENCE_MILLIS = 500;

  /** Of a daemon's share of a core, which may be used up for the rest of a tenth of a second. */
  private static final int STARVED_MILLIS = 100;

  private static final int TICK_MILLIS = 100;
  private static final int COPY_MILLIS = 100;

  @ParameterizedTest
  @ValueSource(ints = {1_500, 2_000, 3_000, 4_000, 60_000})
  void theLastDaemonKnowsOfALeavingNodeWellBeforeItMust(int promisedMillis) {
    PollIntervals cadence = new PollIntervals(promisedMillis);
    int known =
        cadence.intervalMillis()
            + NOTES_MILLIS
            + cadence.copyDelays().minIntervalMillis()
            + COPY_MILLIS
            + TICK_MILLIS;
    assertThat(known).isLessThan(promisedMillis * 3 / 4);
  }

  /** The watcher is lost right before it would have heard, and each daemon waits for its share. */
  @ParameterizedTest
  @ValueSource(ints = {2_000, 3_000, 4_000, 60_000})
  void theLastDaemonKnowsInTimeAlsoWhenTheWatcherIsLost(int promisedMillis) {
    PollIntervals cadence = new PollIntervals(promisedMillis);
    int known =
        cadence.intervalMillis()
            + SILENCE_MILLIS
            + TICK_MILLIS
            + NOTE_MILLIS
            + cadence.copyDelays().minIntervalMillis()
            + COPY_MILLIS
            + TICK_MILLIS
            + 2 * STARVED_MILLIS;
    assertThat(known).isLessThan(promisedMillis);
  }

  @ParameterizedTest
  @ValueSource(ints = {2_000, 3_000, 4_000})
  void fiveWatchersAndALeaderMakeAThirdOfTheCallsOfFixedRests(int promisedMillis) {
    PollIntervals cadence = new PollIntervals(promisedMillis);
    double calls =
        5 * 1_000.0 / cadence.intervalMillis() + 1_000.0 / cadence.leaderIntervalMillis(false);
    double ofFixedRests = 5 * 1_000.0 / 300 + 1_000.0 / 120;
    assertThat(calls / ofFixedRests).isLessThan(promisedMillis == 4_000 ? 0.37 : 0.57);
  }
}
