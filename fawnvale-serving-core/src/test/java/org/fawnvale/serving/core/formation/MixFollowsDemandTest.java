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
 * eight nodes and one of four, while callers ask the smaller one for twice the work of the larger.
 */
class MixFollowsDemandTest {

  private static final long MILLI = 1_000_000L;
  private static final int DOMAINS = 9;
  private static final int DOMAIN_NODES = 19;
  private static final EngineSpec ENGINE =
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

  /** Measured: 3.1 groups of the larger model and 11.8 of the smaller one are kept busy. */
  private static final Map<String, Double> BUSY = Map.of("large", 3.1, "small", 11.8);

  private final SimulatedNodes nodes = new SimulatedNodes(ENGINE);
  private final LastModels lastModels = new LastModels();
  private final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
  private final GroupPlanner planner =
      new GroupPlanner("p-", SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT);
  private long now;
  private ModelDemand demand = ModelDemand.declared(ENGINE);

  @BeforeEach
  void formByDeclaredShares() {
    for (int domain = 0; domain < DOMAINS; domain++) {
      for (int node = 0; node < DOMAIN_NODES; node++) {
        nodes.add("d" + domain + "n" + node, "domain" + domain);
      }
    }
    run(60_000);
    limiter.bound();
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
              Set.of(),
              Set.of("a"),
              1);
      for (GroupOrder order : planner.plan(input, now)) {
        if (order.kind() == GroupOrder.Kind.REPORT) {
          planner.report(order.node(), nodes.report(order.node().id()), now);
        } else {
          planner.outcome(order, nodes.order(order), now);
        }
      }
    }
    assertThat(nodes.violations).isEmpty();
  }

  @Test
  void groupsOfTheModelThatIsAskedForMoreAreFormedWithinSeconds() {
    for (int second = 1; second <= 12; second++) {
      demand = ModelDemand.observed(ENGINE, BUSY, second);
      run(1_000);
    }
    assertThat(nodes.serving("small")).isGreaterThanOrEqualTo(22);
  }
}
