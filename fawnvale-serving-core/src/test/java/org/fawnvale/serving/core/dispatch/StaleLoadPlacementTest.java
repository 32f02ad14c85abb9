package org.fawnvale.serving.core.dispatch;

import java.util.List;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that all send to the upstream which looked least loaded in the last
 * messages, so that some heads queue while others idle.
 */
class StaleLoadPlacementTest {

  private static final ModelSpec MODEL = new ModelSpec("small", 4, 0.5, 0.6, 12_000, 1_100);
  private static final EngineSpec ENGINE =
      new EngineSpec(
          24,
          1_000_000,
          5,
          2_048,
          List.of(MODEL),
          6.07,
          0.341,
          0.0069,
          46_000,
          0.7,
          14,
          21,
          300,
          new RequestSize(841, 111));

  private static final int SEEDS = 4;
  private static final double REPORT_AGE_SECONDS = 0.3;

  private static double inTime(int daemons, double burst, double reportAgeSeconds) {
    LoadSimulation.Load load =
        new LoadSimulation.Load(
            ENGINE,
            MODEL,
            daemons,
            19,
            second -> second > 6 && second < 10 ? 250 * burst : 250,
            14,
            60,
            250,
            6_000);
    double inTime = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      RetryAfterPolicy retryAfter = new RetryAfterPolicy();
      inTime +=
          LoadSimulation.simulate(load, retryAfter::nextMillis, reportAgeSeconds, seed).inTime()
              / SEEDS;
    }
    return inTime;
  }

  @Test
  void show() {
    for (int daemons : new int[] {9, 83, 300}) {
      for (double burst : new double[] {1, 1.8, 2.2}) {
        System.out.printf(
            "daemons=%d burst=%.1f sampled=%.3f age.15=%.3f age.3=%.3f age.45=%.3f age.6=%.3f%n",
            daemons,
            burst,
            inTime(daemons, burst, 0),
            inTime(daemons, burst, 0.15),
            inTime(daemons, burst, 0.3),
            inTime(daemons, burst, 0.45),
            inTime(daemons, burst, 0.6));
      }
    }
  }
}
