package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

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

  /** Messages are sent every 0.3 s and arrive up to 0.15 s later. */
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
  void arrivingRequestsFillTheLeastLoadedUpstreamsToOneLevel() {
    double[] loads = {0.5, 0.1, 0.2, 0.9};
    int[] chosen = new int[loads.length];
    for (int draw = 0; draw < 300; draw++) {
      chosen[StaleLoadPlacement.choose(loads, 0.3, (draw + 0.5) / 300)]++;
    }
    assertThat(chosen).containsExactly(0, 200, 100, 0);
  }

  @Test
  void manyArrivingRequestsAreSpreadOverAllUpstreams() {
    double[] loads = {0, 0, 1};
    int[] chosen = new int[loads.length];
    for (int draw = 0; draw < 600; draw++) {
      chosen[StaleLoadPlacement.choose(loads, 4, (draw + 0.5) / 600)]++;
    }
    assertThat(chosen).containsExactly(250, 250, 100);
  }

  @Test
  void singleUpstreamIsChosenWhateverItsLoad() {
    assertThat(StaleLoadPlacement.choose(new double[] {7}, 0.01, 0.999_999)).isZero();
  }

  /** More than twice the usual load for four seconds, which the heads can't serve in time. */
  @Test
  void burstIsSpreadOverTheHeadsOfALargeFleet() {
    for (int daemons : new int[] {83, 300}) {
      double sampled = inTime(daemons, 2.2, 0);
      assertThat(inTime(daemons, 2.2, REPORT_AGE_SECONDS)).isGreaterThan(sampled + 0.03);
    }
  }

  @Test
  void smallFleetLosesNothing() {
    assertThat(inTime(9, 1.8, REPORT_AGE_SECONDS)).isGreaterThan(inTime(9, 1.8, 0));
  }

  @Test
  void usualLoadIsServedInTime() {
    for (int daemons : new int[] {9, 83, 300}) {
      assertThat(inTime(daemons, 1, REPORT_AGE_SECONDS)).isGreaterThan(0.99);
    }
  }
}
