package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;

/** Timing of a graceful shutdown in virtual time, with a grace period of eight seconds. */
class PlannedStopTest {

  private static final long MILLI = 1_000_000L;

  private long now;
  private long refusedFromMillis = -1;

  private long stopsAfterMillis(LongPredicate busyAtMillis) {
    PlannedStop shutdown = new PlannedStop(0, 8_000);
    shutdown.await(
        () -> now,
        millis -> now += millis * MILLI,
        refuseNew -> {
          refusedFromMillis = refuseNew && refusedFromMillis < 0 ? now / MILLI : refusedFromMillis;
          return busyAtMillis.test(now / MILLI);
        });
    return now / MILLI;
  }

  @Test
  void idleDaemonStopsAfterBalancerRemoval() {
    assertThat(stopsAfterMillis(millis -> false)).isEqualTo(3_000);
    assertThat(refusedFromMillis).isEqualTo(3_000);
  }

  @Test
  void waitsForTheLastBytesOfTheLastResponse() {
    assertThat(stopsAfterMillis(millis -> millis < 4_000)).isEqualTo(4_100);
  }

  @Test
  void stopsWithinTheGracePeriodDespiteRequestsInFlight() {
    assertThat(stopsAfterMillis(millis -> true)).isEqualTo(7_300);
  }
}
