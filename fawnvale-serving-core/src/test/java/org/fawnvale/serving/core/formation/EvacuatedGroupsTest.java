package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that loads weights and forms groups in an evacuated data centre, counts
 * the groups there, or takes them apart.
 */
class EvacuatedGroupsTest {

  private static final long MILLI = SimulatedNodes.MILLI;

  private final SimulatedNodes nodes = new SimulatedNodes(GroupPlannerTest.ENGINE);
  private final LastModels lastModels = new LastModels();
  private final List<GroupOrder> orders = new ArrayList<>();
  private final GroupPlanner planner =
      new GroupPlanner(
          "first-", SimulatedNodes.STALL_NANOS, new LoadLimiter(5_000 * MILLI), Policy.DEFAULT);
  private Set<String> evacuated = Set.of();
  private boolean losesJoins;
  private long now;

  @BeforeEach
  void addNodes() {
    for (int index = 0; index < 9; index++) {
      nodes.add("a" + index, "domain-a");
      nodes.add("b" + index, "domain-b");
    }
  }

  /** Each domain is a data centre of its own, named by the first letter of its nodes' ids. */
  private static Node inOwnDataCentre(Node node) {
    return new Node(
        node.life(),
        node.service(),
        node.endpoint(),
        node.id().substring(0, 1),
        node.slots(),
        node.draining(),
        node.domain(),
        node.model(),
        node.staged(),
        node.membership());
  }

  private void run(long millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      nodes.advance(now);
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              lastModels.complete(nodes.list(3_600 * MILLI)).stream()
                  .map(EvacuatedGroupsTest::inOwnDataCentre)
                  .toList(),
              GroupPlannerTest.ENGINE,
              ModelDemand.declared(GroupPlannerTest.ENGINE),
              SuspectedHeads.NONE,
              Set.of("a", "b"),
              Set.of(),
              1,
              evacuated,
              Set.of());
      for (GroupOrder order : planner.plan(input, now)) {
        orders.add(order);
        if (order.kind() == GroupOrder.Kind.REPORT) {
          planner.report(order.node(), nodes.report(order.node().id()), now);
        } else if (losesJoins && order.node().id().startsWith("b")) {
          planner.outcome(order, GroupOrder.Outcome.UNKNOWN, now);
        } else {
          planner.outcome(order, nodes.order(order), now);
        }
      }
    }
    assertThat(nodes.violations).isEmpty();
  }

  private int servingIn(String dataCentre) {
    return (int)
        nodes.list(0).stream()
            .filter(node -> node.id().startsWith(dataCentre) && node.membership() != null)
            .filter(node -> node.membership().rank() == 0)
            .count();
  }

  private List<GroupOrder> ordersTo(String dataCentre) {
    return orders.stream().filter(order -> order.node().id().startsWith(dataCentre)).toList();
  }

  @Test
  void nodesOfAnEvacuatedDataCentreNeitherJoinNorLoad() {
    evacuated = Set.of("b");
    run(60_000);
    assertThat(servingIn("a")).isPositive();
    assertThat(ordersTo("b")).isEmpty();
    evacuated = Set.of();
    run(60_000);
    assertThat(servingIn("b")).isPositive();
  }

  @Test
  void groupsStayWhileTheirDataCentreIsEvacuated() {
    run(60_000);
    int serving = servingIn("b");
    orders.clear();
    evacuated = Set.of("b");
    run(30_000);
    assertThat(servingIn("b")).isEqualTo(serving);
    assertThat(ordersTo("b")).isEmpty();
  }

  private long joinsTo(String dataCentre) {
    return ordersTo(dataCentre).stream()
        .filter(order -> order.kind() == GroupOrder.Kind.JOIN)
        .count();
  }

  /** Loses the first joins in data centre b, so that the leader has to send them again. */
  private void loseFirstJoins() {
    losesJoins = true;
    while (joinsTo("b") == 0) {
      run(50);
    }
    losesJoins = false;
    orders.clear();
  }

  @Test
  void joinsLostBeforeTheEvacuationAreNotSentAgain() {
    loseFirstJoins();
    evacuated = Set.of("b");
    run(60_000);
    assertThat(joinsTo("b")).isZero();
    assertThat(servingIn("b")).isZero();
  }

  /** Shows that the test above would fail if the evacuation were ignored. */
  @Test
  void joinsLostWithoutAnEvacuationAreSentAgain() {
    loseFirstJoins();
    run(5_000);
    assertThat(joinsTo("b")).isPositive();
  }

  /** Each data centre alone has groups of both models: those there do not stand in for others. */
  @Test
  void mixOfTheOthersIsPlannedAsIfTheEvacuatedGroupsDidNotExist() {
    evacuated = Set.of("b");
    run(60_000);
    assertThat(nodes.serving("large")).isPositive();
    assertThat(nodes.serving("small")).isPositive();
    int groupsOfOne = servingIn("a");
    evacuated = Set.of("a");
    run(60_000);
    assertThat(servingIn("b")).isEqualTo(groupsOfOne);
  }
}
