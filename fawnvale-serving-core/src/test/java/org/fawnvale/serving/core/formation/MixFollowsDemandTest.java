package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A fleet of nine domains of 19 nodes whose configuration declares equal shares for a model of
 * eight nodes and one of four, while the smaller model has twice the work of the larger one.
 */
class MixFollowsDemandTest {

  private static final long MILLI = 1_000_000L;
  private static final int DOMAINS = 9;
  private static final int DOMAIN_NODES = 19;
  static final EngineSpec ENGINE =
      new EngineSpec(
          24,
          988_235,
          5,
          2_048,
          List.of(
              new ModelSpec("large", 8, 0.5, 1.0, 16_000, 1_600),
              new ModelSpec("small", 4, 0.5, 0.6, 12_000, 1_100)),
          6.07,
          0.341,
          0.007,
          46_000,
          0.7,
          14,
          21,
          300,
          new RequestSize(841, 111));

  /** Number of groups of the larger model that the demand keeps busy. */
  private static final double BUSY_LARGE = 3.1;

  /** Number of groups of the smaller model that the demand keeps busy. */
  private static final double BUSY_SMALL = 11.8;

  /** Relative noise in the observed demand for the larger model. */
  private static final double NOISE = 0.12;

  /** Time constant of the observation; at first only a part of the work is observed. */
  private static final double OBSERVATION_SECONDS = 6;

  private final SimulatedNodes nodes = new SimulatedNodes(ENGINE);
  private final LastModels lastModels = new LastModels();
  private final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
  private final GroupPlanner planner =
      new GroupPlanner("p-", SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT);
  private long now;
  private int exchanges;
  private ModelDemand demand = ModelDemand.declared(ENGINE);

  @BeforeEach
  void formByDeclaredShares() {
    for (int domain = 0; domain < DOMAINS; domain++) {
      for (int node = 0; node < DOMAIN_NODES; node++) {
        nodes.add("d" + domain + "n" + node, "domain" + domain);
      }
    }
    run(60_000);
    limiter.enforce();
  }

  private void run(long millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      nodes.advance(now);
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              lastModels.complete(nodes.list(3_600 * MILLI)),
              ENGINE,
              demand,
              SuspectedHeads.NONE,
              Set.of("a"),
              Set.of(),
              1);
      for (GroupOrder order : planner.plan(input, now)) {
        if (order.kind() == GroupOrder.Kind.REPORT) {
          planner.report(order.node(), nodes.report(order.node().id()), now);
        } else {
          planner.outcome(order, nodes.order(order), now);
        }
      }
      exchanges +=
          (int) planner.drainLogLines().stream().filter(r -> r.contains(" exchanges ")).count();
    }
    assertThat(nodes.violations).isEmpty();
  }

  @Test
  void groupsOfTheModelWithMoreDemandAreFormedWithinSeconds() {
    applyDemand(1, 12, 0);
    assertThat(nodes.serving("small")).isGreaterThanOrEqualTo(22);
  }

  @Test
  void noiseInTheDemandCausesHardlyAnyExchanges() {
    applyDemand(1, 12, 0);
    exchanges = 0;
    applyDemand(13, 40, NOISE);
    assertThat(exchanges).isLessThanOrEqualTo(2);
  }

  private void applyDemand(int fromSecond, int toSecond, double noise) {
    for (int second = fromSecond; second <= toSecond; second++) {
      double observedShare = 1 - Math.exp(-second / OBSERVATION_SECONDS);
      double noiseFactor = second % 4 < 2 ? 1 - noise : 1 + noise;
      Map<String, Double> busy =
          Map.of(
              "large",
              BUSY_LARGE * observedShare * noiseFactor,
              "small",
              BUSY_SMALL * observedShare);
      demand = ModelDemand.observed(ENGINE, busy, second);
      run(1_000);
    }
  }
}
