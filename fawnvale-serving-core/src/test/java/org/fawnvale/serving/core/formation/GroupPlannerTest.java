package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the leader does with one domain of nine nodes and two models. */
class GroupPlannerTest {

  static final long MILLI = SimulatedNodes.MILLI;
  static final EngineSpec ENGINE =
      new EngineSpec(
          18,
          1_000_000,
          7,
          2048,
          List.of(
              new ModelSpec("large", 4, 0.57, 1.0, 16_000, 1_600),
              new ModelSpec("small", 3, 0.43, 0.6, 12_000, 1_100)),
          5.95,
          0.06,
          0.01,
          50_700,
          4.5,
          300);

  private final SimulatedNodes nodes = new SimulatedNodes(ENGINE);
  private final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
  private GroupPlanner planner = planner("first-");
  private long now;
  private Set<String> stalled = Set.of();

  private GroupPlanner planner(String prefix) {
    return new GroupPlanner(prefix, SimulatedNodes.STALL_NANOS, limiter);
  }

  @BeforeEach
  void addNodes() {
    for (int index = 0; index < 9; index++) {
      nodes.add("n" + index, "domain");
    }
  }

  private void run(long millis, long fence) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      nodes.advance(now);
      GroupPlanner.Input input =
          new GroupPlanner.Input(nodes.list(3_600 * MILLI), ENGINE, stalled, fence);
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

  private String headOf(String model) {
    return nodes.list(0).stream()
        .filter(node -> model.equals(node.model()) && node.membership() != null)
        .filter(node -> node.membership().rank() == 0)
        .findFirst()
        .orElseThrow()
        .id();
  }

  private String otherMember(String head) {
    return nodes.list(0).stream()
        .filter(node -> node.membership() != null && node.membership().rank() == 1)
        .filter(node -> node.membership().group().endsWith("~" + head))
        .findFirst()
        .orElseThrow()
        .id();
  }

  @Test
  void aDomainGetsOneGroupOfEachModelAndSparesOfBoth() {
    run(20_000, 1);
    assertThat(nodes.serving("large")).isEqualTo(1);
    assertThat(nodes.serving("small")).isEqualTo(1);
    Set<String> spareModels =
        nodes.list(0).stream()
            .filter(node -> node.membership() == null)
            .map(node -> node.staged().get(0))
            .collect(java.util.stream.Collectors.toSet());
    assertThat(spareModels).containsExactlyInAnyOrder("large", "small");
  }

  @Test
  void aLostMemberIsReplacedByTheWarmSpareWithoutWaitingForTheList() {
    run(20_000, 1);
    String head = headOf("large");
    nodes.kill(otherMember(head));
    stalled = Set.of(head);
    run(200, 1);
    stalled = Set.of();
    run(2_300, 1);
    assertThat(nodes.serving("large")).isEqualTo(1);
  }

  @Test
  void survivorsOfADeadHeadAreUsedOnlyAfterTheGroupIsBroken() {
    run(20_000, 1);
    String head = headOf("small");
    nodes.kill(head);
    stalled = Set.of(head);
    run(3_000, 1);
    stalled = Set.of();
    assertThat(nodes.serving("small")).isZero();
    run(8_000, 1);
    assertThat(nodes.serving("small")).isEqualTo(1);
  }

  @Test
  void aNewLeaderAdoptsWhatStandsAndEndsWhatWasBegun() {
    run(20_000, 1);
    String head = headOf("large");
    nodes.kill(otherMember(head));
    stalled = Set.of(head);
    run(150, 1);
    stalled = Set.of();
    planner = planner("second-");
    run(2_500, 2);
    assertThat(nodes.serving("large")).isEqualTo(1);
    assertThat(nodes.serving("small")).isEqualTo(1);
  }

  @Test
  void aRefusedOldLeaderChangesNothing() {
    run(20_000, 2);
    GroupPlanner old = planner("old-");
    GroupPlanner.Input input =
        new GroupPlanner.Input(nodes.list(0), ENGINE, Set.of(headOf("large")), 1);
    List<GroupOrder> orders = old.plan(input, now);
    assertThat(orders).isNotEmpty();
    for (GroupOrder order : orders) {
      if (order.kind() != GroupOrder.Kind.REPORT) {
        assertThat(nodes.order(order)).isEqualTo(GroupOrder.Outcome.FENCED);
      }
    }
    assertThat(nodes.serving("large")).isEqualTo(1);
  }

  @Test
  void aDrainingMemberEndsItsGroupAndTheSpareTakesItsPlace() {
    run(20_000, 1);
    nodes.drain(otherMember(headOf("large")));
    run(6_000, 1);
    assertThat(nodes.serving("large")).isEqualTo(1);
  }
}
