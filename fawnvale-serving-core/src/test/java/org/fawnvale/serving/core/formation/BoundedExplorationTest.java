package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/**
 * Explores all scenarios of a small system up to a bounded depth: four nodes, one serving group of
 * three, an event that makes leaders dissolve it, a second leader that starts at one of several
 * times with a fresh or a stale list, and each combination of deliveries for the next orders. No
 * scenario may violate an invariant. Two injected faults check that the exploration detects
 * violations.
 */
class BoundedExplorationTest {

  private static final long MILLI = SimulatedNodes.MILLI;
  private static final EngineSpec ENGINE =
      new EngineSpec(
          18,
          1_000_000,
          7,
          2_048,
          List.of(new ModelSpec("trio", 3, 1.0, 1.0, 300, 100)),
          5.95,
          0.06,
          0.01,
          50_700,
          0.7,
          20,
          6,
          50,
          new RequestSize(1_000, 120));

  /** Number of orders after the trigger whose delivery is varied. */
  private static final int DEPTH = 4;

  private static final int DELIVERIES = Delivery.values().length;
  private static final long STEP_NANOS = 50 * MILLI;
  private static final long TRIGGER_NANOS = 2_500 * MILLI;
  private static final long END_NANOS = 11_000 * MILLI;
  private static final long DELAY_NANOS = 1_700 * MILLI;
  private static final long UNRESPONSIVE_UNTIL_NANOS = 9_000 * MILLI;
  private static final long[] SECOND_LEADER_DELAYS_MILLIS = {-500, -450, 0, 350, 1_500};

  /** The event that makes leaders act. */
  private enum Trigger {
    /** A member that is not the head starts to drain. */
    MEMBER_DRAINS,
    /** A member that is not the head restarts under its id. */
    MEMBER_RESTARTS,
    /** The head is suspected to be stalled, though it serves. */
    HEAD_SUSPECTED,
    /**
     * The head is suspected, its entry is missing, and it receives and answers no order for
     * seconds.
     */
    HEAD_UNRESPONSIVE
  }

  /** How an order is delivered: answered, executed late without an answer, or lost. */
  private enum Delivery {
    ANSWERED,
    DELAYED,
    LOST
  }

  /** A fault in the leaders or their orders. */
  private enum InjectedFault {
    NONE,
    /** Joins expect no order count. */
    JOINS_WITHOUT_COUNT,
    /** An order without an answer is treated as done. */
    NO_ANSWER_TREATED_AS_DONE
  }

  /** The result of an exploration. */
  private static final class SearchResult {
    int scenarios;
    final Set<Integer> states = new HashSet<>();
    final List<String> violations = new ArrayList<>();
  }

  private static final class Leader {
    final GroupPlanner planner;
    final long fence;
    final LastModels lastModels = new LastModels();
    List<Node> list = List.of();

    Leader(String name, long fence) {
      LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
      planner = new GroupPlanner(name, SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT);
      this.fence = fence;
    }
  }

  /** One scenario; its number encodes the second leader's start, its list and the deliveries. */
  private static final class Scenario {
    final SimulatedNodes nodes = new SimulatedNodes(ENGINE);
    final Trigger trigger;
    final UnaryOperator<GroupOrder> mutation;
    final GroupOrder.Outcome resultOfNoAnswer;
    final Leader first = new Leader("first-", 1);
    final Leader second = new Leader("second-", 2);
    final long secondStartsNanos;
    final boolean startsWithStaleList;
    int deliveryCode;
    int deliveriesChosen;
    long now;
    Set<String> stalled = Set.of();
    String unresponsiveHead = "";

    Scenario(Trigger trigger, int number, InjectedFault fault) {
      this.trigger = trigger;
      int code = number;
      long after = SECOND_LEADER_DELAYS_MILLIS[code % SECOND_LEADER_DELAYS_MILLIS.length];
      secondStartsNanos = TRIGGER_NANOS + after * MILLI;
      code /= SECOND_LEADER_DELAYS_MILLIS.length;
      startsWithStaleList = code % 2 == 1;
      deliveryCode = code / 2;
      mutation =
          fault == InjectedFault.JOINS_WITHOUT_COUNT
              ? BoundedExplorationTest::withoutCount
              : UnaryOperator.identity();
      resultOfNoAnswer =
          fault == InjectedFault.NO_ANSWER_TREATED_AS_DONE
              ? GroupOrder.Outcome.DONE
              : GroupOrder.Outcome.UNKNOWN;
      List.of("n0", "n1", "n2", "n3").forEach(id -> nodes.add(id, "domain"));
    }

    void run(SearchResult result) {
      while (now < END_NANOS) {
        now += STEP_NANOS;
        nodes.advance(now);
        if (now == TRIGGER_NANOS) {
          applyTrigger();
        }
        act(first, true);
        if (now >= secondStartsNanos) {
          act(second, !startsWithStaleList || now >= secondStartsNanos + 2_000 * MILLI);
        }
        result.states.add(nodes.list(0).toString().hashCode());
      }
      result.scenarios++;
      nodes.violations.forEach(text -> result.violations.add(trigger + " " + text));
    }

    private void applyTrigger() {
      second.list = nodes.list(0);
      Node head = null;
      Node other = null;
      for (Node node : second.list) {
        boolean isMember = node.membership() != null;
        head = isMember && node.membership().state() == MemberState.OPEN ? node : head;
        other = isMember && node.membership().rank() == 1 ? node : other;
      }
      assertThat(head).as("a group serves by now").isNotNull();
      switch (trigger) {
        case MEMBER_DRAINS -> nodes.drain(other.id());
        case MEMBER_RESTARTS -> {
          nodes.kill(other.id());
          nodes.restart(other.id());
        }
        case HEAD_SUSPECTED -> stalled = Set.of(head.id() + "@" + head.membership().epoch());
        case HEAD_UNRESPONSIVE -> {
          stalled = Set.of(head.id() + "@" + head.membership().epoch());
          unresponsiveHead = head.id();
          nodes.hideEntry(unresponsiveHead, true);
        }
      }
    }

    private void act(Leader leader, boolean refreshesList) {
      if (refreshesList) {
        leader.list = nodes.list(0);
      }
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              leader.lastModels.complete(leader.list).stream().toList(),
              ENGINE,
              ModelDemand.declared(ENGINE),
              SuspectedHeads.confirmed(stalled),
              GroupPlannerTest.REACHABLE,
              Set.of(),
              leader.fence);
      for (GroupOrder order : leader.planner.plan(input, now)) {
        send(leader, mutation.apply(order));
      }
    }

    private void send(Leader leader, GroupOrder order) {
      boolean unresponsive =
          order.node().id().equals(unresponsiveHead) && now < UNRESPONSIVE_UNTIL_NANOS;
      if (order.kind() == GroupOrder.Kind.REPORT) {
        ReportOutcome outcome =
            unresponsive ? ReportOutcome.Missing.REFUSED : nodes.report(order.node().id());
        leader.planner.report(order.node(), outcome, now);
        return;
      }
      Delivery delivery = unresponsive ? Delivery.LOST : nextDelivery();
      GroupOrder.Outcome outcome = resultOfNoAnswer;
      if (delivery == Delivery.ANSWERED) {
        outcome = nodes.order(order);
      } else if (delivery == Delivery.DELAYED) {
        nodes.orderWithDelay(order, DELAY_NANOS);
      }
      leader.planner.outcome(order, outcome, now);
    }

    private Delivery nextDelivery() {
      if (now < TRIGGER_NANOS || deliveriesChosen == DEPTH) {
        return Delivery.ANSWERED;
      }
      deliveriesChosen++;
      Delivery delivery = Delivery.values()[deliveryCode % DELIVERIES];
      deliveryCode /= DELIVERIES;
      return delivery;
    }
  }

  private static GroupOrder withoutCount(GroupOrder order) {
    return order.kind() != GroupOrder.Kind.JOIN
        ? order
        : new GroupOrder(
            order.node(),
            order.kind(),
            order.group(),
            order.epoch(),
            order.model(),
            order.members(),
            order.fence(),
            OrderTracker.UNKNOWN);
  }

  private static SearchResult search(InjectedFault fault) {
    int scenarios = SECOND_LEADER_DELAYS_MILLIS.length * 2;
    for (int order = 0; order < DEPTH; order++) {
      scenarios *= DELIVERIES;
    }
    SearchResult result = new SearchResult();
    for (Trigger trigger : Trigger.values()) {
      for (int number = 0; number < scenarios; number++) {
        new Scenario(trigger, number, fault).run(result);
      }
    }
    return result;
  }

  @Test
  void noScenarioViolatesAnInvariant() {
    SearchResult result = search(InjectedFault.NONE);
    assertThat(result.scenarios).isEqualTo(3_240);
    assertThat(result.states.size()).isGreaterThan(100);
    assertThat(result.violations).isEmpty();
  }

  @Test
  void joinsWithoutExpectedCountAreDetected() {
    assertThat(search(InjectedFault.JOINS_WITHOUT_COUNT).violations).isNotEmpty();
  }

  @Test
  void missingAnswersTreatedAsDoneAreDetected() {
    assertThat(search(InjectedFault.NO_ANSWER_TREATED_AS_DONE).violations).isNotEmpty();
  }
}
