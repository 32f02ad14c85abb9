package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;

/** Losses, late and unanswered orders, stale lists and changes of leader, against the oracle. */
class GroupPlannerFuzzTest {

  private static final long MILLI = SimulatedNodes.MILLI;
  private static final int STEPS = 900;

  @Property(tries = 150, seed = "20261202")
  void noGroupServesShortAndNoNodeIsTakenFromAGroupThatMayServe(@ForAll long seed) {
    Run run = new Run(new Random(seed));
    run.play();
    assertThat(run.nodes.violations).as("seed %d", seed).isEmpty();
  }

  /** One run in virtual time. */
  private static final class Run {
    final Random random;
    final SimulatedNodes nodes = new SimulatedNodes(GroupPlannerTest.ENGINE);
    final List<Leader> leaders = new ArrayList<>();
    final double lateShare;
    ModelDemand demand = ModelDemand.declared(GroupPlannerTest.ENGINE);
    long now;
    long term;
    int added;

    /** A leader and the list as it saw it last. */
    private static final class Leader {
      final GroupPlanner planner;
      final long term;
      List<Node> list = List.of();
      long frozenUntil;

      Leader(GroupPlanner planner, long term) {
        this.planner = planner;
        this.term = term;
      }
    }

    Run(Random random) {
      this.random = random;
      this.lateShare = random.nextDouble() * 0.4;
      for (int index = 0; index < 9; index++) {
        add();
      }
      lead();
      if (random.nextBoolean()) {
        nodes.headsAreIdle();
      }
    }

    void add() {
      nodes.add("n" + added, "domain" + added % 2);
      added++;
    }

    void lead() {
      term++;
      LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
      limiter.bound();
      leaders.add(
          new Leader(
              new GroupPlanner(
                  "t" + term + "-", SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT),
              term));
      if (leaders.size() > 2) {
        leaders.remove(0);
      }
    }

    void play() {
      for (int step = 0; step < STEPS; step++) {
        now += 50 * MILLI;
        nodes.advance(now);
        trouble();
        for (Leader leader : List.copyOf(leaders)) {
          act(leader);
        }
      }
    }

    void trouble() {
      if (random.nextInt(100) == 0) {
        double large = random.nextDouble();
        demand = new ModelDemand(Map.of("large", large, "small", 1 - large));
      }
      if (random.nextInt(60) == 0) {
        List<String> ids = new ArrayList<>(nodes.ids());
        String id = ids.get(random.nextInt(ids.size()));
        if (random.nextInt(3) == 0) {
          nodes.drain(id);
        } else {
          nodes.kill(id);
        }
        add();
      }
      if (random.nextInt(200) == 0) {
        lead();
      }
      if (random.nextInt(250) == 0) {
        long until = now + (3_000 + random.nextInt(5_000)) * MILLI;
        nodes.cutDomain("domain" + random.nextInt(2), until, random);
      }
    }

    void act(Leader leader) {
      if (random.nextInt(150) == 0) {
        leader.frozenUntil = now + random.nextInt(8_000) * MILLI;
      }
      if (now >= leader.frozenUntil) {
        leader.list = nodes.list(3_600 * MILLI);
      }
      Set<String> stalled = new HashSet<>();
      for (String id : nodes.ids()) {
        if (random.nextInt(400) == 0) {
          stalled.add(id + "@" + epochOf(leader, id));
        }
      }
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              leader.list,
              GroupPlannerTest.ENGINE,
              demand,
              stalled,
              GroupPlannerTest.SIGHT,
              leader.term);
      for (GroupOrder order : leader.planner.plan(input, now)) {
        send(leader, order);
      }
    }

    long epochOf(Leader leader, String id) {
      for (Node node : leader.list) {
        if (node.id().equals(id) && node.membership() != null) {
          return node.membership().epoch();
        }
      }
      return 0;
    }

    void send(Leader leader, GroupOrder order) {
      if (order.kind() == GroupOrder.Kind.REPORT) {
        leader.planner.report(order.node(), nodes.report(order.node().id()), now);
      } else if (random.nextInt(40) == 0) {
        // A cut that resets connections looks like an address where nothing listens.
        leader.planner.outcome(order, GroupOrder.Outcome.GONE, now);
      } else if (random.nextDouble() < lateShare) {
        nodes.orderLate(order, (2_000 + random.nextInt(10_000)) * MILLI);
        leader.planner.outcome(order, GroupOrder.Outcome.UNKNOWN, now);
      } else {
        leader.planner.outcome(order, nodes.order(order), now);
      }
    }
  }
}
