package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** When callers return that were refused by urgency. */
class RefusalTimesTest {

  private final RefusalTimes times = new RefusalTimes();

  private double mean(long remaining, long burst, int urgency, double level) {
    double sum = 0;
    for (int caller = 0; caller < 100; caller++) {
      sum += times.nextMillis(remaining, burst, urgency, level) / 100.0;
    }
    return sum;
  }

  /** Guards against callers that return into the burst that they were refused in. */
  @Test
  void callersReturnAfterThePredictedEnd() {
    assertThat(mean(60_000, 0, 5, 5.4)).isBetween(5_000.0, 5_700.0);
    assertThat(mean(60_000, 3_000, 5, 5.4)).isBetween(2_000.0, 2_300.0);
    assertThat(mean(60_000, 30_000, 5, 5.4)).isBetween(1_900.0, 2_300.0);
  }

  /** Guards against less urgent callers that return first and take the room. */
  @Test
  void lessUrgentCallersReturnLater() {
    assertThat(mean(60_000, 3_000, 8, 2.5)).isGreaterThan(mean(60_000, 3_000, 3, 2.5) + 500);
  }

  /** Guards against waves of callers and against times that callers ignore. */
  @Property(tries = 300)
  void staysWithinAThirdOfTheRemainingTime(
      @ForAll @LongRange(min = -100, max = 100_000) long remaining,
      @ForAll @LongRange(max = 20_000) long burst,
      @ForAll @IntRange(max = 9) int urgency,
      @ForAll @DoubleRange(max = 10) double level) {
    int one = times.nextMillis(remaining, burst, urgency, level);
    int other = times.nextMillis(remaining, burst, urgency, level);
    assertThat(one).isBetween(0, (int) Math.max(0, remaining / 3));
    if (remaining > 1_000) {
      assertThat(one).isNotEqualTo(other);
    }
  }
}
