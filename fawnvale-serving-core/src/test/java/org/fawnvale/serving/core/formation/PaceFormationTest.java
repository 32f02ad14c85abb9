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

/** How the leader mends groups that slow nodes slow down. */
class PaceFormationTest {

  private static final long MILLI = SimulatedNodes.MILLI;

  /** How long after a node turns slow the streams of its group show it to the leader. */
  private static final long OBSERVED_MILLIS = 1_000;

  private static final Policy PACE = new Policy(true, true, true, true, true, false, true);

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
    long shortestLeaveMillis = Long.MAX_VALUE;
    long longestPlanNanos;
    long firstDecisionNanos;
    long fence;
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
      newLeader();
      run(120_000);
      limiter.enforce();
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
              ModelDemand.declared(engine),
              stalled,
              Set.of("a"),
              Set.of(),
              fence,
              Set.of(),
              observed);
      long begin = System.nanoTime();
      List<GroupOrder> orders = planner.plan(input, now);
      longestPlanNanos = Math.max(longestPlanNanos, System.nanoTime() - begin);
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

  private static void mends(Fleet fleet, int wantedNodes) {
    String before = fleet.groups();
    fleet.slow(0.4, 7);
    int slowed = fleet.normalNodes();
    long begin = fleet.now;
    long mended = 0;
    while (fleet.now - begin < 12_000 * MILLI) {
      fleet.run(50);
      if (mended == 0 && fleet.normalNodes() >= wantedNodes) {
        mended = fleet.now;
      }
    }
    System.out.println(
        before
            + " -> slowed nodes "
            + slowed
            + " -> "
            + fleet.groups()
            + " normal nodes "
            + fleet.normalNodes()
            + " decision_ms "
            + (fleet.firstDecisionNanos - begin) / MILLI
            + " mended_ms "
            + (mended - begin) / MILLI
            + " exchanges "
            + fleet.count("exchanges for pace")
            + " shortest "
            + fleet.shortestLeaveMillis
            + " longest plan us "
            + fleet.longestPlanNanos / 1_000);
    assertThat(fleet.nodes.violations).isEmpty();
    assertThat(fleet.normalNodes()).isGreaterThanOrEqualTo(wantedNodes);
    assertThat((fleet.firstDecisionNanos - begin) / MILLI).isBetween(1_000L, 3_000L);
    assertThat(fleet.shortestLeaveMillis).isGreaterThanOrEqualTo(5_000);
  }

  /** Guards against 40 slow nodes in 100 that leave hardly any group of normal pace. */
  @Test
  void fortyInAHundredSlowNodesInDomainsOf37AreGroupedAmongThemselves() {
    mends(new Fleet(6, 37, 16, PACE), 100);
  }

  /** The same with the sizes of the first deployment. */
  @Test
  void fortyInAHundredSlowNodesInDomainsOf19AreGroupedAmongThemselves() {
    mends(new Fleet(9, 19, 8, PACE), 70);
  }
}
