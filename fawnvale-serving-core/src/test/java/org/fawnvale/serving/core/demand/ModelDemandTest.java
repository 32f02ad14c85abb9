package org.fawnvale.serving.core.demand;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/** How measured requests translate into the demand for groups. */
class ModelDemandTest {

  private static final ModelSpec LARGE = new ModelSpec("large", 4, 0.6, 1.0, 16_000, 1_600);
  private static final ModelSpec SMALL = new ModelSpec("small", 2, 0.4, 0.5, 12_000, 1_100);
  private static final EngineSpec ENGINE =
      new EngineSpec(
          20,
          1_000_000,
          5,
          2_048,
          List.of(LARGE, SMALL),
          6.0,
          0.4,
          0.0,
          50_000,
          0.0,
          4.0,
          6,
          300,
          new RequestSize(1_000, 100));
  private static final long SECOND = 1_000_000_000L;

  @Test
  void workIsPrefillTimePlusAShareOfTheSteps() {
    double work = EngineTimes.workMillis(ENGINE, LARGE, new RequestSize(2_000, 100));
    assertThat(work).isCloseTo(2_000 / 50.0 + 100 * (6.0 / 20 + 0.4), within(1e-9));
    double faster = EngineTimes.workMillis(ENGINE, SMALL, new RequestSize(2_000, 100));
    assertThat(faster).isCloseTo(work / 2, within(1e-9));
  }

  @Test
  void requestOfUnknownSizeCountsAsTheTypicalOne() {
    assertThat(EngineTimes.workMillis(ENGINE, LARGE, RequestSize.UNKNOWN))
        .isEqualTo(EngineTimes.workMillis(ENGINE, LARGE, new RequestSize(1_000, 100)));
  }

  @Test
  void steadyWorkIsReportedAsBusyGroups() {
    OfferedLoad work = new OfferedLoad();
    for (int request = 0; request < 3_000; request++) {
      work.recordWork("large", 200, request * SECOND / 100);
    }
    assertThat(work.busyGroups(30 * SECOND).get("large")).isCloseTo(20, within(0.5));
    assertThat(work.busyGroups(90 * SECOND).get("large")).isLessThan(0.1);
  }

  @Test
  void observedDemandReplacesDeclaredDemand() {
    Map<String, Double> busy = Map.of("large", 2.0, "small", 4.0);
    ModelDemand initial = ModelDemand.observed(ENGINE, busy, 0);
    assertThat(initial).isEqualTo(ModelDemand.declared(ENGINE));
    ModelDemand observed = ModelDemand.observed(ENGINE, busy, 60);
    assertThat(observed.of(SMALL) / observed.of(LARGE)).isCloseTo(2, within(1e-6));
  }

  @Test
  void modelWithoutRequestsKeepsAMinimalDemand() {
    ModelDemand demand = ModelDemand.observed(ENGINE, Map.of("large", 2.0), 60);
    assertThat(demand.of(SMALL)).isPositive();
  }
}
