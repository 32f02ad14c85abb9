package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the leader mends groups that slow nodes slow down. */
class PaceFormationTest {

  private static final long MILLI = SimulatedNodes.MILLI;

  /** How long after a node turns slow the streams of its group show it to the leader. */
  private static final long OBSERVED_MILLIS = 1_000;

  private static final Policy PACE =
      new Policy(true, true, true, true, true, false, false, true, false);

  /** A fleet, its leader and the time. */
  private static final class Fleet {
    final EngineSpec engine;
    final SimulatedNodes nodes;
    final List<String> ids = new ArrayList<>();
    final LastModels lastModels = new LastModels();
    final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
    final List<String> log = new ArrayList<>();
    final Map<String, Long> slowHeadsSince = new HashMap<>();
    final Map<String, Long> leftNanos = new HashMap<>();
    final Policy policy;
    Set<String> stalled = Set.of();
    ModelDemand demand;
    long shortestLeaveMillis = Long.MAX_VALUE;
    long firstDecisionNanos;
    long fence;
    long reports;
    long now;
    GroupPlanner planner;

    Fleet(int domains, int size, int large, Policy policy) {
      this.policy = policy;
      engine =
          new EngineSpec(
              21,
              1_000_000,
              7,
              2048,
              List.of(
                  new ModelSpec("large", large, 0.6, 1.0, 16_000, 1_600),
                  new ModelSpec("small", 4, 0.4, 0.6, 12_000, 1_100)),
              5.95,
              0.06,
              0.01,
              50_700,
              0.7,
              4.5,
              6,
              300,
              new RequestSize(1_000, 120));
      nodes = new SimulatedNodes(engine);
      nodes.delayReports(200 * MILLI);
      nodes.setDrainMillis(1_000);
      for (int domain = 0; domain < domains; domain++) {
        for (int index = 0; index < size; index++) {
          String id = String.format("d%d-%02d", domain, index);
          ids.add(id);
          nodes.add(id, "domain" + domain);
        }
      }
      demand = ModelDemand.declared(engine);
      newLeader();
      run(120_000);
      limiter.enforce();
      double busy = 0.5 * ids.size();
      demand =
          ModelDemand.observed(
              engine, Map.of("large", busy * 0.6 / large, "small", busy * 0.4 / 4), 30);
      run(10_000);
      log.clear();
    }

    void newLeader() {
      fence++;
      planner = new GroupPlanner("p" + fence + "-", SimulatedNodes.STALL_NANOS, limiter, policy);
    }

    void run(long millis) {
      long end = now + millis * MILLI;
      while (now < end) {
        step();
      }
    }

    private void step() {
      now += 50 * MILLI;
      nodes.advance(now);
      Set<String> slow = nodes.slowHeads();
      slowHeadsSince.keySet().retainAll(slow);
      slow.forEach(id -> slowHeadsSince.putIfAbsent(id, now));
      Set<String> observed = new HashSet<>();
      slowHeadsSince.forEach(
          (id, since) -> {
            if (now - since >= OBSERVED_MILLIS * MILLI) {
              observed.add(id);
            }
          });
      stalled.forEach(head -> observed.add(head.substring(0, head.indexOf('@'))));
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              lastModels.complete(nodes.list(3_600 * MILLI)),
              engine,
              demand,
              SuspectedHeads.confirmed(stalled),
              Set.of("a"),
              Set.of(),
              fence,
              Set.of(),
              observed);
      List<GroupOrder> orders = planner.plan(input, now);
      orders.forEach(this::send);
      for (String line : planner.drainLogLines()) {
        log.add(line);
        if (line.contains("exchanges for pace") && firstDecisionNanos == 0) {
          firstDecisionNanos = now;
        }
      }
    }

    private void send(GroupOrder order) {
      if (order.kind() == GroupOrder.Kind.REPORT) {
        reports++;
        planner.report(order.node(), nodes.report(order.node().id()), now);
        return;
      }
      if (order.kind() == GroupOrder.Kind.CLOSE) {
        for (Node node : nodes.list(0)) {
          if (node.membership() != null && node.membership().group().equals(order.group())) {
            Long before = leftNanos.put(node.id(), now);
            long since = before == null ? Long.MAX_VALUE : (now - before) / MILLI;
            shortestLeaveMillis = Math.min(shortestLeaveMillis, since);
          }
        }
      }
      planner.outcome(order, nodes.order(order), now);
    }

    /** Makes a share of the nodes slow. */
    void slow(double share, long seed) {
      Random random = new Random(seed);
      ids.forEach(
          id -> nodes.setPace(id, random.nextDouble() < share ? 3 + random.nextInt(10) : 1));
    }

    Node head(String model) {
      return nodes.list(0).stream()
          .filter(node -> model.equals(node.model()) && node.membership() != null)
          .filter(node -> node.membership().rank() == 0)
          .findFirst()
          .orElseThrow();
    }

    String otherMember(Node head) {
      return nodes.list(0).stream()
          .filter(node -> node.membership() != null && node.membership().rank() == 1)
          .filter(node -> node.membership().group().equals(head.membership().group()))
          .findFirst()
          .orElseThrow()
          .id();
    }

    int normalNodes() {
      return nodes.servingAtNormalPace("large") * engine.models().get(0).size()
          + nodes.servingAtNormalPace("small") * 4;
    }

    long count(String text) {
      return log.stream().filter(line -> line.contains(text)).count();
    }

    String groups() {
      return "large="
          + nodes.servingAtNormalPace("large")
          + "/"
          + nodes.serving("large")
          + " small="
          + nodes.servingAtNormalPace("small")
          + "/"
          + nodes.serving("small");
    }
  }

  /** Makes 40 in 100 nodes slow and returns how many nodes are then in groups of normal pace. */
  private static int mends(Fleet fleet, int wantedNodes, long withinMillis) {
    fleet.slow(0.4, 7);
    long begin = fleet.now;
    assertThat(fleet.normalNodes()).isLessThan(wantedNodes / 4);
    while (fleet.normalNodes() < wantedNodes) {
      fleet.run(50);
      assertThat((fleet.now - begin) / MILLI).as(fleet.groups()).isLessThan(withinMillis);
    }
    assertThat((fleet.firstDecisionNanos - begin) / MILLI).isBetween(2_000L, 2_500L);
    fleet.run(10_000);
    assertThat(fleet.nodes.violations).isEmpty();
    assertThat(fleet.shortestLeaveMillis).isGreaterThanOrEqualTo(5_000);
    return fleet.normalNodes();
  }

  /** Guards against 40 slow nodes in 100 that leave hardly any group of normal pace. */
  @Test
  void fortyInAHundredSlowNodesInDomainsOf37AreGroupedAmongThemselves() {
    assertThat(mends(new Fleet(6, 37, 16, PACE), 100, 6_000)).isGreaterThanOrEqualTo(110);
  }

  /** The same with the sizes of the first deployment. */
  @Test
  void fortyInAHundredSlowNodesInDomainsOf19AreGroupedAmongThemselves() {
    assertThat(mends(new Fleet(9, 19, 8, PACE), 64, 8_000)).isGreaterThanOrEqualTo(72);
  }

  /** Guards against groups dissolved for nothing, when no node of a domain is faster. */
  @Test
  void nodesThatAreAllSlowMoveNothing() {
    Fleet fleet = new Fleet(2, 37, 16, PACE);
    fleet.slow(1, 1);
    fleet.run(10_000);
    assertThat(fleet.planner.slowNodes()).isPositive();
    assertThat(fleet.count("dissolved")).isZero();
  }

  /** Guards against groups dissolved for a short slowness. */
  @Test
  void nodesThatAreSlowForLessThanASecondMoveNothing() {
    Fleet fleet = new Fleet(2, 37, 16, PACE);
    for (int round = 0; round < 5; round++) {
      fleet.slow(0.4, round);
      fleet.run(950);
      fleet.slow(0, round);
      fleet.run(1_500);
    }
    assertThat(fleet.count("dissolved")).isZero();
  }

  /** Guards against a policy that acts although it is off. */
  @Test
  void nothingIsAskedOrMovedWithThePolicyOff() {
    Fleet fleet = new Fleet(2, 37, 16, Policy.DEFAULT);
    fleet.slow(0.4, 1);
    long reports = fleet.reports;
    fleet.run(10_000);
    assertThat(fleet.reports).isEqualTo(reports);
    assertThat(fleet.count("dissolved")).isZero();
  }

  /** Guards against nodes that stay apart, or groups that are exchanged again, after a return. */
  @Test
  void nodesThatReturnToNormalServeWithTheOthersAgain() {
    Fleet fleet = new Fleet(2, 37, 16, PACE);
    fleet.slow(0.4, 1);
    fleet.run(10_000);
    int apart = fleet.normalNodes();
    fleet.slow(0, 1);
    long exchanges = fleet.count("exchanges for pace");
    fleet.run(20_000);
    assertThat(fleet.planner.slowNodes()).isZero();
    assertThat(fleet.normalNodes()).isGreaterThan(apart + 15).isGreaterThanOrEqualTo(64);
    assertThat(fleet.count("exchanges for pace")).isEqualTo(exchanges);
    assertThat(fleet.nodes.violations).isEmpty();
  }

  /** Guards against groups that are dissolved again and again while nodes change their pace. */
  @ParameterizedTest
  @ValueSource(ints = {1_500, 3_000})
  void noGroupIsExchangedTwiceWithinFiveSeconds(int millis) {
    Fleet fleet = new Fleet(3, 37, 16, PACE);
    for (int round = 0; round < 20; round++) {
      fleet.slow(0.4, round);
      fleet.run(millis);
    }
    assertThat(fleet.count("exchanges for pace")).isPositive();
    assertThat(fleet.shortestLeaveMillis).isGreaterThanOrEqualTo(5_000);
    assertThat(fleet.nodes.violations).isEmpty();
  }

  /** Guards against an exchange that is left half done when the leader dies. */
  @Test
  void theNextLeaderCompletesAnExchange() {
    Fleet fleet = new Fleet(6, 37, 16, PACE);
    fleet.slow(0.4, 7);
    while (fleet.firstDecisionNanos == 0) {
      fleet.run(50);
    }
    fleet.run(500);
    fleet.newLeader();
    fleet.run(12_000);
    assertThat(fleet.nodes.violations).isEmpty();
    assertThat(fleet.normalNodes()).isGreaterThanOrEqualTo(100);
  }

  /** Guards against a slow group that is taken apart at once as stalled. */
  @Test
  void aSlowGroupThatIsSuspectedOfAStallIsNotDissolvedAtOnce() {
    Fleet fleet = new Fleet(1, 37, 16, PACE);
    Node head = fleet.head("large");
    fleet.slow(1, 1);
    fleet.run(300);
    fleet.stalled = Set.of(head.id() + "@" + head.membership().epoch());
    fleet.run(700);
    assertThat(fleet.count("stands still")).isZero();
    fleet.run(3_000);
    assertThat(fleet.count("stands still")).isEqualTo(1);
  }

  /** Guards against a lost member or a stalled head that is taken for a slow one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aStalledGroupIsDissolvedWithinHalfASecond(boolean killsMember) {
    Fleet fleet = new Fleet(1, 37, 16, PACE);
    Node head = fleet.head("large");
    if (killsMember) {
      fleet.nodes.setPace(head.id(), 5);
      fleet.nodes.kill(fleet.otherMember(head));
    }
    fleet.run(300);
    fleet.stalled = Set.of(head.id() + "@" + head.membership().epoch());
    fleet.run(450);
    assertThat(fleet.count("stands still")).isEqualTo(1);
    fleet.stalled = Set.of();
    fleet.run(20_000);
    assertThat(fleet.nodes.serving("large")).isGreaterThanOrEqualTo(1);
    assertThat(fleet.nodes.violations).isEmpty();
  }
}
