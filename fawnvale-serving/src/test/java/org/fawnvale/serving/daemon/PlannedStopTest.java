package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;

/** When a daemon that was told to stop ends, in virtual time; its grace is eight seconds. */
class PlannedStopTest {

  private static final long MILLI = 1_000_000L;

  private long now;
  private long refusedFromMillis = -1;

  private long endsAfterMillis(LongPredicate busyAtMillis) {
    PlannedStop planned = new PlannedStop(0, 8_000);
    planned.await(
        () -> now,
        millis -> now += millis * MILLI,
        refuse -> {
          refusedFromMillis = refuse && refusedFromMillis < 0 ? now / MILLI : refusedFromMillis;
          return busyAtMillis.test(now / MILLI);
        });
    return now / MILLI;
  }

  @Test
  void anIdleDaemonEndsOnceTheBalancerHasLeftIt() {
    assertThat(endsAfterMillis(millis -> false)).isEqualTo(3_000);
    assertThat(refusedFromMillis).isEqualTo(3_000);
  }

  @Test
  void theLastBytesOfTheLastAnswerHaveTimeToLeave() {
    assertThat(endsAfterMillis(millis -> millis < 4_000)).isEqualTo(4_100);
  }

  @Test
  void itEndsWithinItsGraceWhateverIsUnderWay() {
    assertThat(endsAfterMillis(millis -> true)).isEqualTo(7_300);
  }
}
