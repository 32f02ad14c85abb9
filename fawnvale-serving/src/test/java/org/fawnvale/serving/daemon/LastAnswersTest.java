package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;

/** How long a stopping daemon writes its last answers, in virtual time, with eight seconds. */
class LastAnswersTest {

  private static final long MILLI = 1_000_000L;
  private static final long ENDED_MILLIS = 7_300;

  private long now = ENDED_MILLIS * MILLI;

  private long closesAfterMillis(LongPredicate busyAtMillis) {
    new PlannedStop(0, 8_000)
        .awaitLastAnswers(
            () -> now,
            millis -> now += millis * MILLI,
            refuseNew -> {
              assertThat(refuseNew).isTrue();
              return busyAtMillis.test(now / MILLI);
            });
    return now / MILLI;
  }

  @Test
  void requestReadJustBeforeTheLastAnswersIsRefusedInTime() {
    assertThat(closesAfterMillis(millis -> false)).isEqualTo(7_350);
  }

  @Test
  void closesOnceTheLastAnswersAreWritten() {
    assertThat(closesAfterMillis(millis -> millis < 7_440)).isEqualTo(7_450);
  }

  @Test
  void leavesTimeForTheExitDespiteCallersThatDoNotRead() {
    assertThat(closesAfterMillis(millis -> true)).isEqualTo(7_600);
  }
}
