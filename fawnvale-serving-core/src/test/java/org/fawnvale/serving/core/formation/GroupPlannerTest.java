package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The leader's decisions for two domains of nine nodes and two models. */
class GroupPlannerTest {

  static final long MILLI = SimulatedNodes.MILLI;
  static final Set<String> REACHABLE = Set.of("a");
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
          0.7,
          4.5,
          6,
          300,
          new RequestSize(1_000, 120));

  private final SimulatedNodes nodes = new SimulatedNodes(ENGINE);
  private final LastModels lastModels = new LastModels();
  private final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
  private GroupPlanner planner = planner("first-");
  private ModelDemand demand = ModelDemand.declared(ENGINE);
  private long now;
  private Set<String> stalled = Set.of();
  private final List<String> leaveOrders = new ArrayList<>();
  private int reports;
  private List<Node> staleList;

  private GroupPlanner planner(String prefix) {
    return new GroupPlanner(prefix, SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT);
  }

  @BeforeEach
  void addNodes() {
    for (int index = 0; index < 9; index++) {
      nodes.add("a" + index, "domain-a");
      nodes.add("b" + index, "domain-b");
    }
  }

  private void run(long millis, long fence) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      nodes.advance(now);
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              lastModels.complete(staleList == null ? nodes.list(3_600 * MILLI) : staleList),
              ENGINE,
              demand,
              SuspectedHeads.confirmed(stalled),
              REACHABLE,
              Set.of(),
              fence);
      send(planner, planner.plan(input, now));
    }
    assertThat(nodes.violations).isEmpty();
  }

  private void send(GroupPlanner leader, List<GroupOrder> orders) {
    for (GroupOrder order : orders) {
      if (order.kind() == GroupOrder.Kind.REPORT) {
        reports++;
        leader.report(order.node(), nodes.report(order.node().id()), now);
      } else {
        if (order.kind() == GroupOrder.Kind.LEAVE) {
          leaveOrders.add(order.node().id());
        }
        leader.outcome(order, nodes.order(order), now);
      }
    }
  }

  private String headAtEpoch(String head) {
    return headsAtEpochIn(nodes.list(60_000 * MILLI), List.of(head)).iterator().next();
  }

  private Set<String> headsAtEpoch(List<String> heads) {
    return headsAtEpochIn(nodes.list(60_000 * MILLI), heads);
  }

  private static Set<String> headsAtEpochIn(List<Node> list, List<String> heads) {
    return list.stream()
        .filter(node -> heads.contains(node.id()))
        .map(node -> node.id() + "@" + node.membership().epoch())
        .collect(java.util.stream.Collectors.toSet());
  }

  private String headOf(String model) {
    return headsOf(model).get(0);
  }

  private List<String> headsOf(String model) {
    return nodes.list(0).stream()
        .filter(node -> model.equals(node.model()) && node.membership() != null)
        .filter(node -> node.membership().rank() == 0)
        .map(Node::id)
        .toList();
  }

  private String otherMember(String head) {
    return nodes.list(0).stream()
        .filter(node -> node.membership() != null && node.membership().rank() == 1)
        .filter(node -> node.membership().group().endsWith("~" + head))
        .findFirst()
        .orElseThrow()
        .id();
  }

  /** A report costs as much as a probe, so new nodes must not be asked before their first join. */
  @Test
  void nodesWithoutOrdersJoinWithoutAReportRequest() {
    run(40_000, 1);
    assertThat(nodes.serving("large") + nodes.serving("small")).isEqualTo(5);
    assertThat(reports).isZero();
  }

  @Test
  void nodesWithOrdersOfAnotherLeaderAreAskedOnceTheyRefuse() {
    List<Node> beforeAnyOrder = nodes.list(0);
    run(30_000, 1);
    planner = planner("second-");
    staleList = beforeAnyOrder;
    run(5_000, 2);
    assertThat(reports).isPositive();
    staleList = null;
    run(40_000, 2);
    assertThat(nodes.serving("large") + nodes.serving("small")).isEqualTo(5);
  }

  @Test
  void bothDomainsFollowTheDeclaredSharesAndEveryMemberStagesTheOtherModel() {
    run(40_000, 1);
    assertThat(nodes.serving("large")).isEqualTo(2);
    assertThat(nodes.serving("small")).isEqualTo(3);
    for (Node node : nodes.list(0)) {
      if (node.membership() != null) {
        assertThat(node.staged()).doesNotContain(node.model());
      }
    }
  }

  @Test
  void theLogOfAMoveNamesTheFormerGroupAndTheReleaseEvidence() {
    run(40_000, 1);
    String head = headOf("large");
    String member = otherMember(head);
    planner.drainLogLines();
    stalled = Set.of(headAtEpoch(head));
    run(6_000, 1);
    assertThat(planner.drainLogLines())
        .anySatisfy(
            remark ->
                assertThat(remark)
                    .startsWith("node=" + member + " ")
                    .contains("taken_from=", "~" + head + " ", "evidence=head_left"));
  }

  @Test
  void aHeadThatHasLeftGetsOneLeaveThoughItsReportsLag() {
    nodes.delayReports(200 * MILLI);
    run(40_000, 1);
    String head = headOf("large");
    stalled = Set.of(headAtEpoch(head));
    leaveOrders.clear();
    run(3_000, 1);
    assertThat(leaveOrders).containsOnlyOnce(head);
    assertThat(nodes.serving("large")).isEqualTo(2);
  }

  @Test
  void survivorsFormAGroupOfTheModelWithTheHighestDemand() {
    run(40_000, 1);
    limiter.enforce();
    killMemberOf(headOf("large"));
    run(16_000, 1);
    int large = nodes.serving("large");
    demand = new ModelDemand(Map.of("large", 0.02, "small", 0.3));
    killMemberOf(headOf("large"));
    run(4_000, 1);
    assertThat(nodes.serving("large")).isLessThan(large);
    assertThat(nodes.serving("small")).isGreaterThanOrEqualTo(4);
  }

  @Test
  void groupsAreExchangedWhenDemandShiftsToAnotherModel() {
    run(40_000, 1);
    limiter.enforce();
    demand = new ModelDemand(Map.of("large", 0.3, "small", 0.03));
    run(10_000, 1);
    assertThat(nodes.serving("large")).isGreaterThanOrEqualTo(3);
    assertThat(nodes.serving("small")).isPositive();
  }

  /**
   * Two large and three small groups serve; a third large one would not be worth two small ones.
   */
  @Test
  void noGroupsAreExchangedForAGroupThatSurvivorsAreAboutToForm() {
    run(40_000, 1);
    limiter.enforce();
    demand = new ModelDemand(Map.of("large", 0.2, "small", 0.1));
    run(5_000, 1);
    Set<String> small = Set.copyOf(headsOf("small"));
    String head = headOf("large");
    nodes.kill(otherMember(head));
    stalled = Set.of(headAtEpoch(head));
    run(100, 1);
    stalled = Set.of();
    run(3_000, 1);
    assertThat(nodes.serving("large")).isEqualTo(2);
    assertThat(Set.copyOf(headsOf("small"))).isEqualTo(small);
  }

  @Test
  void spareNodesStageTheLargestModelOfTheirDomain() {
    run(40_000, 1);
    for (Node node : nodes.list(0)) {
      if (node.membership() == null) {
        assertThat(node.domain()).isIn(domainsOf("large"));
        assertThat(node.staged()).containsExactly("large");
      }
    }
  }

  private Set<String> domainsOf(String model) {
    return nodes.list(0).stream()
        .filter(node -> model.equals(node.model()))
        .map(Node::domain)
        .collect(java.util.stream.Collectors.toSet());
  }

  /** A leader that has just started knows the declared demand only. */
  @Test
  void servingGroupsAreKeptWhileDemandIsOnlyDeclared() {
    run(40_000, 1);
    limiter.enforce();
    Set<String> before = Set.copyOf(headsOf("small"));
    demand = new ModelDemand(Map.of("large", 0.3, "small", 0.03), 0, 0);
    run(10_000, 1);
    assertThat(Set.copyOf(headsOf("small"))).isEqualTo(before);
  }

  @Test
  void groupsAreKeptWhenDemandDiffersLittle() {
    run(40_000, 1);
    limiter.enforce();
    Set<String> before = Set.copyOf(headsOf("large"));
    demand = new ModelDemand(Map.of("large", 0.15, "small", 0.135));
    run(10_000, 1);
    assertThat(Set.copyOf(headsOf("large"))).isEqualTo(before);
  }

  @Test
  void aFailedMemberIsReplacedByTheSpareBeforeItsEntryLapses() {
    run(20_000, 1);
    String head = headOf("large");
    nodes.kill(otherMember(head));
    stalled = Set.of(headAtEpoch(head));
    run(100, 1);
    stalled = Set.of();
    run(2_300, 1);
    assertThat(nodes.serving("large")).isEqualTo(2);
  }

  @Test
  void survivorsOfTwoGroupsFormOneWithinASecond() {
    run(20_000, 1);
    List<String> heads = headsOf("small").subList(0, 2);
    heads.forEach(head -> nodes.kill(otherMember(head)));
    stalled = headsAtEpoch(heads);
    run(100, 1);
    stalled = Set.of();
    run(900, 1);
    assertThat(nodes.serving("small")).isEqualTo(2);
  }

  @Test
  void survivorsOfADeadHeadAreUsedOnlyAfterTheHeadIsBroken() {
    run(20_000, 1);
    String head = headOf("small");
    nodes.kill(head);
    stalled = Set.of(headAtEpoch(head));
    run(3_000, 1);
    stalled = Set.of();
    assertThat(nodes.serving("small")).isEqualTo(2);
    run(2_000, 1);
    String second = headsOf("small").get(0);
    nodes.kill(otherMember(second));
    stalled = Set.of(headAtEpoch(second));
    run(100, 1);
    stalled = Set.of();
    run(2_000, 1);
    assertThat(nodes.serving("small")).isEqualTo(2);
  }

  @Test
  void aNewLeaderAdoptsExistingGroupsAndCompletesDissolutions() {
    run(20_000, 1);
    String head = headOf("large");
    nodes.kill(otherMember(head));
    stalled = Set.of(headAtEpoch(head));
    run(150, 1);
    stalled = Set.of();
    planner = planner("second-");
    run(2_500, 2);
    assertThat(nodes.serving("large")).isEqualTo(2);
    assertThat(nodes.serving("small")).isEqualTo(3);
  }

  @Test
  void ordersOfAFencedLeaderAreRefused() {
    run(20_000, 2);
    GroupPlanner old = planner("old-");
    GroupPlanner.Input input =
        new GroupPlanner.Input(
            nodes.list(0),
            ENGINE,
            demand,
            SuspectedHeads.confirmed(Set.of(headAtEpoch(headOf("large")))),
            REACHABLE,
            Set.of(),
            1);
    List<GroupOrder> orders = old.plan(input, now);
    for (int step = 0; step < 12; step++) {
      send(old, orders);
      now += 50 * MILLI;
      orders = old.plan(input, now);
    }
    assertThat(orders).anyMatch(order -> order.kind() != GroupOrder.Kind.REPORT);
    for (GroupOrder order : orders) {
      if (order.kind() != GroupOrder.Kind.REPORT) {
        assertThat(nodes.order(order)).isEqualTo(GroupOrder.Outcome.FENCED);
      }
    }
    assertThat(nodes.serving("large")).isEqualTo(2);
  }

  @Test
  void aDrainingMemberIsReplacedByTheSpare() {
    run(20_000, 1);
    nodes.drain(otherMember(headOf("large")));
    run(6_000, 1);
    assertThat(nodes.serving("large")).isEqualTo(2);
  }

  @Test
  void groupsWithDrainingMembersAreDissolvedOneAfterTheOther() {
    run(20_000, 1);
    List<String> heads = new ArrayList<>(headsOf("small"));
    heads.addAll(headsOf("large"));
    heads.forEach(head -> nodes.drain(otherMember(head)));
    run(50, 1);
    assertThat(nodes.serving("small") + nodes.serving("large")).isGreaterThanOrEqualTo(3);
    run(2_000, 1);
    Set<String> ended =
        planner.recent().closed().stream()
            .map(GroupKey::head)
            .collect(java.util.stream.Collectors.toSet());
    assertThat(ended).containsAll(heads);
  }

  @Test
  void aLeaderWithAStaleListTakesNoNodeFromAGroupThatServes() {
    run(20_000, 1);
    List<Node> oldList = nodes.list(0);
    List<String> heads = headsOf("small").subList(0, 2);
    nodes.kill(heads.get(0));
    nodes.kill(otherMember(heads.get(1)));
    stalled = headsAtEpoch(heads);
    run(100, 1);
    stalled = Set.of();
    run(8_000, 1);
    assertThat(nodes.serving("small")).isEqualTo(2);
    GroupPlanner staleLeader = planner("cut-off-");
    Set<String> oldHeadsAtEpoch = headsAtEpochIn(oldList, heads);
    for (int step = 0; step < 160; step++) {
      now += 50 * MILLI;
      nodes.advance(now);
      SuspectedHeads suspected =
          step < 13 ? SuspectedHeads.confirmed(oldHeadsAtEpoch) : SuspectedHeads.NONE;
      GroupPlanner.Input input =
          new GroupPlanner.Input(oldList, ENGINE, demand, suspected, REACHABLE, Set.of(), 2);
      send(staleLeader, staleLeader.plan(input, now));
    }
    assertThat(staleLeader.drainLogLines()).anyMatch(line -> line.contains("stands still"));
    assertThat(nodes.violations).isEmpty();
    assertThat(nodes.serving("small")).isEqualTo(2);
  }

  @Test
  void aRefusedConnectionIsNoProofThatAHeadHasEnded() {
    run(20_000, 1);
    String head = headOf("small");
    nodes.refuseConnections(head);
    stalled = Set.of(headAtEpoch(head));
    run(8_000, 1);
  }

  @Test
  void aSuspicionOfAFormerGroupDoesNotDissolveTheNextGroupOfTheSameHead() {
    run(20_000, 1);
    String head = headOf("large");
    nodes.kill(otherMember(head));
    stalled = Set.of(headAtEpoch(head));
    run(2_500, 1);
    assertThat(nodes.serving("large")).isEqualTo(2);
  }

  @Test
  void survivorsDoNotWaitForANodeThatIsStillLoading() {
    run(20_000, 1);
    limiter.enforce();
    List<String> heads = headsOf("small");
    killMemberOf(heads.get(0));
    nodes.add("late", "domain-b");
    run(3_000, 1);
    killMemberOf(heads.get(1));
    run(1_500, 1);
    assertThat(nodes.serving("small")).isEqualTo(2);
  }

  @Test
  void aServingGroupIsKeptWhileAnEntryIsMissingBriefly() {
    run(20_000, 1);
    String head = headOf("large");
    String group = headAtEpoch(head);
    String member = otherMember(head);
    nodes.hideEntry(member, true);
    run(3_000, 1);
    nodes.hideEntry(member, false);
    run(3_000, 1);
    assertThat(headsAtEpoch(headsOf("large"))).contains(group);
    assertThat(nodes.serving("large")).isEqualTo(2);
  }

  @Test
  void recentGroupsAreRetainedWhileTheListIsNotUpdated() {
    run(20_000, 1);
    List<Node> oldList = nodes.list(0);
    nodes.kill(otherMember(headOf("large")));
    Set<String> lost = headsAtEpochIn(oldList, headsOf("large").subList(0, 1));
    for (int step = 0; step < 160; step++) {
      now += 50 * MILLI;
      nodes.advance(now);
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              oldList,
              ENGINE,
              demand,
              step < 3 ? SuspectedHeads.confirmed(lost) : SuspectedHeads.NONE,
              REACHABLE,
              Set.of(),
              1);
      send(planner, planner.plan(input, now));
    }
    assertThat(nodes.serving("large")).isEqualTo(2);
    assertThat(planner.recent().opened()).containsValue("large");
    assertThat(planner.recent().closed()).isNotEmpty();
  }

  @Test
  void aGroupIsDissolvedWhenAnEntryStaysMissing() {
    run(20_000, 1);
    String head = headOf("large");
    String group = headAtEpoch(head);
    nodes.hideEntry(otherMember(head), true);
    run(9_000, 1);
    assertThat(headsAtEpoch(headsOf("large"))).doesNotContain(group);
  }

  private void killMemberOf(String head) {
    nodes.kill(otherMember(head));
    stalled = Set.of(headAtEpoch(head));
    run(100, 1);
    stalled = Set.of();
  }
}
