package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that keep sending to heads which reject every request: such heads respond
 * at once, so they look idle. In simulated time, five of twelve heads reject everything for six
 * seconds.
 */
class RejectingHeadsTest {

  private static final ModelSpec MODEL = new ModelSpec("small", 4, 0.5, 0.6, 12_000, 1_100);
  private static final EngineSpec ENGINE =
      new EngineSpec(
          18,
          1_000_000,
          5,
          2_048,
          List.of(MODEL),
          5.95,
          0.0445,
          0,
          50_700,
          0,
          14,
          21,
          300,
          new RequestSize(841, 111));

  private static final int HEADS = 12;
  private static final int SEEDS = 6;
  private static final LoadSimulation.RejectionPhase WITHOUT_PAUSE =
      new LoadSimulation.RejectionPhase(4, 10, 5, 0);
  private static final LoadSimulation.RejectionPhase WITH_PAUSE =
      new LoadSimulation.RejectionPhase(4, 10, 5, 3_000);

  private static LoadSimulation.ReturnPolicy policy() {
    RetryAfterPolicy retryAfter = new RetryAfterPolicy();
    return retryAfter::nextMillis;
  }

  private static LoadSimulation.Outcome mean(
      int daemons, LoadSimulation.RejectionPhase phase, LoadSimulation.RejectionHandling handling) {
    LoadSimulation.Load load =
        new LoadSimulation.Load(ENGINE, MODEL, daemons, HEADS, second -> 120, 12, 120, 300, 6_000);
    double inTime = 0;
    double late = 0;
    double lost = 0;
    double refused = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      LoadSimulation.Outcome one = LoadSimulation.simulate(load, phase, handling, policy(), seed);
      inTime += one.inTime() / SEEDS;
      late += one.late() / SEEDS;
      lost += one.lost() / SEEDS;
      refused += one.refused() / SEEDS;
    }
    return new LoadSimulation.Outcome(inTime, late, lost, refused);
  }

  private static final LoadSimulation.RejectionHandling NO_BACKOFF =
      new LoadSimulation.RejectionHandling(false, false);
  private static final LoadSimulation.RejectionHandling BACKOFF =
      new LoadSimulation.RejectionHandling(true, false);

  /** The seven other heads have capacity for all callers. */
  @Test
  void backoffAloneSufficesInASmallFleet() {
    assertThat(mean(9, WITHOUT_PAUSE, NO_BACKOFF).inTime()).isLessThan(0.9);
    assertThat(mean(9, WITHOUT_PAUSE, BACKOFF).inTime()).isGreaterThan(0.95);
    assertThat(mean(9, WITHOUT_PAUSE, LoadSimulation.RejectionHandling.FULL).inTime())
        .isGreaterThan(0.95);
  }

  /** Each daemon sends too few requests to find the rejecting heads by itself. */
  @Test
  void largeFleetNeedsReportsBetweenDaemons() {
    assertThat(mean(78, WITHOUT_PAUSE, NO_BACKOFF).inTime()).isLessThan(0.9);
    double alone = mean(78, WITHOUT_PAUSE, BACKOFF).inTime();
    double withReports = mean(78, WITHOUT_PAUSE, LoadSimulation.RejectionHandling.FULL).inTime();
    assertThat(withReports).isGreaterThan(0.95).isGreaterThan(alone + 0.02);
  }

  /** The heads ask each daemon for a Retry-After pause of 3 s. */
  @Test
  void headsThatAskForAPauseCostCallersLittle() {
    assertThat(mean(9, WITH_PAUSE, LoadSimulation.RejectionHandling.FULL).inTime())
        .isGreaterThan(0.95);
    assertThat(mean(78, WITH_PAUSE, LoadSimulation.RejectionHandling.FULL).inTime())
        .isGreaterThan(0.95);
    assertThat(mean(78, WITH_PAUSE, LoadSimulation.RejectionHandling.FULL).lost())
        .isLessThan(0.001);
  }
}
