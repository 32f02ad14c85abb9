package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against shortages that are seen too late, ended too early, or not there at all. */
class ProcessorShortageTest {

  private static final long MILLI = 1_000_000L;
  private static final int PERIOD_MILLIS = 25;

  private final ProcessorShortage shortage = new ProcessorShortage(0, PERIOD_MILLIS * MILLI);
  private long now;

  private void tickAfter(int millis) {
    now += millis * MILLI;
    shortage.tick(now);
  }

  /** Ticks at this interval for at least the given time; returns whether all ended as expected. */
  private boolean allTicks(boolean expected, int intervalMillis, int millis) {
    boolean asExpected = true;
    for (int elapsed = 0; elapsed < millis; elapsed += intervalMillis) {
      tickAfter(intervalMillis);
      asExpected &= shortage.isShort() == expected;
    }
    return asExpected;
  }

  /** Guards against daemons that leave the balancer while the compiler is at work. */
  @Test
  void noShortageIsReportedInTheFirstTenSeconds() {
    assertThat(allTicks(false, 400, 9_600)).isTrue();
    tickAfter(400);
    assertThat(shortage.isShort()).isTrue();
  }

  /** Guards against a threshold that callers' streams notice before the daemon does. */
  @Test
  void shortageBeginsWithinASecondOfTicksThatAreOverAHundredMillisecondsLate() {
    allTicks(false, PERIOD_MILLIS, 11_000);
    assertThat(allTicks(false, PERIOD_MILLIS + 99, 5_000)).isTrue();
    allTicks(false, PERIOD_MILLIS + 103, 1_100);
    assertThat(shortage.isShort()).isTrue();
  }

  /** Guards against a garbage collection that counts as a shortage, or keeps one from ending. */
  @Test
  void singlePauseBelowTwoHundredMillisecondsChangesNothing() {
    allTicks(false, PERIOD_MILLIS, 11_000);
    tickAfter(199);
    assertThat(shortage.isShort()).isFalse();
    assertThat(allTicks(false, PERIOD_MILLIS, 2_000)).isTrue();
    tickAfter(2_000);
    allTicks(true, PERIOD_MILLIS, 1_400);
    tickAfter(199);
    allTicks(true, PERIOD_MILLIS, 400);
    assertThat(shortage.isShort()).isFalse();
  }

  /** Guards against readiness that alternates while the daemon gets its time in bursts. */
  @Test
  void shortageLastsWhilePausesRecurWithinTwoSeconds() {
    allTicks(false, PERIOD_MILLIS, 11_000);
    boolean alwaysShort = true;
    for (int burst = 0; burst < 5; burst++) {
      tickAfter(500);
      alwaysShort &= shortage.isShort();
      alwaysShort &= allTicks(true, PERIOD_MILLIS, 1_400);
    }
    assertThat(alwaysShort).isTrue();
  }

  /** Guards against a resumed daemon that stays away from callers for long. */
  @Test
  void resumedDaemonIsShortAtOnceAndNormalTwoSecondsLater() {
    allTicks(false, PERIOD_MILLIS, 11_000);
    tickAfter(5_000);
    assertThat(shortage.isShort()).isTrue();
    assertThat(allTicks(true, PERIOD_MILLIS, 1_000)).isTrue();
    allTicks(true, PERIOD_MILLIS, 1_000);
    assertThat(shortage.isShort()).isFalse();
    assertThat(shortage.meanLateNanos()).isZero();
  }
}
