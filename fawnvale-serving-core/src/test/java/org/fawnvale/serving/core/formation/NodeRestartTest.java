package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Nodes restart under their ids before their entries have lapsed. State of a former incarnation
 * must not be applied to the next one.
 */
class NodeRestartTest {

  private static final long MILLI = SimulatedNodes.MILLI;

  private final SimulatedNodes nodes = new SimulatedNodes(GroupPlannerTest.ENGINE);
  private final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
  private final GroupPlanner planner =
      new GroupPlanner("one-", SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT);
  private long now;
  private int refused;

  @BeforeEach
  void addNodes() {
    for (int index = 0; index < 9; index++) {
      nodes.add("a" + index, "domain-a");
    }
    run(40_000);
  }

  private void run(long millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      nodes.advance(now);
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              nodes.list(3_600 * MILLI),
              GroupPlannerTest.ENGINE,
              ModelDemand.declared(GroupPlannerTest.ENGINE),
              SuspectedHeads.NONE,
              GroupPlannerTest.REACHABLE,
              Set.of(),
              1);
      for (GroupOrder order : planner.plan(input, now)) {
        if (order.kind() == GroupOrder.Kind.REPORT) {
          planner.report(order.node(), nodes.report(order.node().id()), now);
        } else {
          GroupOrder.Outcome outcome = nodes.order(order);
          refused += outcome == GroupOrder.Outcome.CONFLICT ? 1 : 0;
          planner.outcome(order, outcome, now);
        }
      }
    }
    assertThat(nodes.violations).isEmpty();
  }

  private int serving() {
    return nodes.serving("large") + nodes.serving("small");
  }

  private String memberOfRank(int rank) {
    return nodes.list(0).stream()
        .filter(node -> node.membership() != null && node.membership().rank() == rank)
        .findFirst()
        .orElseThrow()
        .id();
  }

  private long millisUntilAllServe(int groups) {
    long begun = now;
    while (serving() < groups && now - begun < 30_000 * MILLI) {
      run(50);
    }
    return (now - begun) / MILLI;
  }

  /** The group must be repaired at once, though the member's id is listed all the time. */
  @Test
  void aGroupLosesAMemberThatRestarts() {
    int before = serving();
    String member = memberOfRank(1);
    nodes.kill(member);
    nodes.restart(member);
    assertThat(millisUntilAllServe(before)).isLessThan(3_000);
  }

  /** The members must be free at once, though the head's id is listed all the time. */
  @Test
  void aRestartedHeadFreesItsMembers() {
    int before = serving();
    String head = memberOfRank(0);
    nodes.kill(head);
    nodes.restart(head);
    assertThat(millisUntilAllServe(before)).isLessThan(3_000);
  }

  /**
   * The restarted node has taken no orders; a join with the count of its former incarnation would
   * be refused.
   */
  @Test
  void aRestartedNodeRefusesNoJoin() {
    limiter.enforce();
    String member = memberOfRank(1);
    nodes.kill(member);
    nodes.restart(member);
    run(5_000);
    assertThat(refused).isZero();
  }

  @Test
  void theLastModelIsForgottenAfterARestart() {
    LastModels models = new LastModels();
    models.complete(List.of(node(1, "large")));
    assertThat(models.complete(List.of(node(1, null))).iterator().next().model())
        .isEqualTo("large");
    assertThat(models.complete(List.of(node(2, null))).iterator().next().model()).isNull();
  }

  @Test
  void theDispatcherForgetsTheStateOfAFormerIncarnation() {
    Dispatcher dispatcher =
        new Dispatcher(
            "a",
            new UpstreamGate(
                new SharedLimits(
                    new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a")))),
            () -> 0);
    dispatcher.setUpstreams(List.of(node(1, "large")));
    dispatcher.state("n").markSuspect(now);
    dispatcher.state("n").requestSent(now);
    dispatcher.setUpstreams(List.of(node(1, "large")));
    assertThat(dispatcher.state("n").isSuspect()).isTrue();
    dispatcher.setUpstreams(List.of(node(2, "large")));
    assertThat(dispatcher.state("n").isSuspect()).isFalse();
    assertThat(dispatcher.state("n").inFlight()).isZero();
  }

  private static Node node(long started, String model) {
    Endpoint endpoint = new Endpoint("127.0.0.1", 1);
    NodeIncarnation life = new NodeIncarnation("n", started);
    return new Node(life, "s", endpoint, "a", 1, false, "d", model, List.of(), null);
  }
}
