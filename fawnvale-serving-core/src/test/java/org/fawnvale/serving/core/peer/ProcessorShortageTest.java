package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against shortages that are seen too late, ended too early, or not there at all. */
class ProcessorShortageTest {

  private static final long MILLI = 1_000_000L;

  private final ProcessorShortage shortage = new ProcessorShortage(0, 25 * MILLI);
  private long now;

  /** Returns each answer of {@link ProcessorShortage#isShort} after the ticks. */
  private Set<Boolean> ticks(int intervalMillis, int millis) {
    Set<Boolean> answers = new HashSet<>();
    for (int elapsed = 0; elapsed < millis; elapsed += intervalMillis) {
      now += intervalMillis * MILLI;
      shortage.tick(now);
      answers.add(shortage.isShort());
    }
    return answers;
  }

  /** Guards against daemons that leave the balancer while the compiler is at work. */
  @Test
  void noShortageIsReportedInTheFirstTenSeconds() {
    assertThat(ticks(400, 9_600)).containsOnly(false);
    assertThat(ticks(400, 400)).containsOnly(true);
  }

  /** Guards against a threshold that callers' streams notice before the daemon does. */
  @Test
  void shortageBeginsWithinASecondOfTicksThatAreOverAHundredMillisecondsLate() {
    assertThat(ticks(25 + 99, 15_000)).containsOnly(false);
    ticks(25 + 103, 1_000);
    assertThat(shortage.isShort()).isTrue();
  }

  /** Guards against a garbage collection that begins a shortage or prolongs one. */
  @Test
  void singlePauseBelowTwoHundredMillisecondsChangesNothing() {
    ticks(25, 11_000);
    assertThat(ticks(199, 199)).containsOnly(false);
    assertThat(ticks(25, 2_000)).containsOnly(false);
    ticks(2_000, 2_000);
    ticks(25, 1_400);
    ticks(199, 199);
    ticks(25, 400);
    assertThat(shortage.isShort()).isFalse();
  }

  /** Guards against readiness that alternates while the daemon gets its time in bursts. */
  @Test
  void pausesThatRecurWithinTwoSecondsAreOneShortageAndItEndsTwoSecondsAfterTheLast() {
    ticks(25, 11_000);
    for (int burst = 0; burst < 5; burst++) {
      assertThat(ticks(500, 500)).containsOnly(true);
      assertThat(ticks(25, 1_400)).containsOnly(true);
    }
    assertThat(shortage.shortForNanos()).isEqualTo((4 * 1_900 + 1_400) * MILLI);
    ticks(25, 600);
    assertThat(shortage.isShort()).isFalse();
    assertThat(shortage.shortForNanos()).isZero();
  }
}
