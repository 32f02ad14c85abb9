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
 * Every course of a small world, up to a depth: four nodes, a group of three that serves, something
 * that makes leaders take it apart, a second leader that begins to act at one of three moments with
 * a new list or an old one, and each way in which the next orders may fare: carried out and
 * answered, carried out late without an answer, or lost. No course may break a promise. The search
 * is shown to see: with a fault planted in the leaders or their orders some course breaks one.
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

  /** How many orders after the trigger fare in every way. */
  private static final int DEPTH = 4;

  private static final int FATES = Fate.values().length;
  private static final long STEP_NANOS = 50 * MILLI;
  private static final long FORMED_BY_NANOS = 2_500 * MILLI;
  private static final long LENGTH_NANOS = 11_000 * MILLI;
  private static final long LATE_NANOS = 1_700 * MILLI;
  private static final long SILENT_UNTIL_NANOS = 9_000 * MILLI;
  private static final long[] SECOND_ACTS_AFTER_MILLIS = {0, 350, 1_500};

  /** What makes leaders act. */
  private enum Trigger {
    /** A member says that it leaves. */
    MEMBER_LEAVES,
    /** The member that is not the head starts again under its id. */
    MEMBER_STARTS_AGAIN,
    /** The head is held to be standing still, though it serves. */
    HEAD_SUSPECTED,
    /** The same, its entry has gone, and it hears and answers no leader for seconds. */
    HEAD_SILENT
  }

  /** How an order fares. */
  private enum Fate {
    ANSWERED,
    LATE,
    LOST
  }

  /** A fault that is planted. */
  private enum Planted {
    NONE,
    /** Joins name no count of orders. */
    JOINS_WITHOUT_COUNT,
    /** An order that had no answer is held to be done. */
    SILENCE_TAKEN_FOR_DONE
  }

  /** What came of a search. */
  private static final class Found {
    int courses;
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

  /** One course. */
  private static final class Course {
    final SimulatedNodes nodes = new SimulatedNodes(ENGINE);
    final Trigger trigger;
    final UnaryOperator<GroupOrder> mutation;
    final GroupOrder.Outcome silence;
    final Leader first = new Leader("first-", 1);
    final Leader second = new Leader("second-", 2);
    final long secondActsNanos;
    final boolean oldList;
    int fates;
    int fated;
    long now;
    Set<String> stalled = Set.of();
    String silentHead = "";

    Course(Trigger trigger, int number, Planted planted) {
      this.trigger = trigger;
      int rest = number;
      long after = SECOND_ACTS_AFTER_MILLIS[rest % SECOND_ACTS_AFTER_MILLIS.length];
      secondActsNanos = FORMED_BY_NANOS + after * MILLI;
      rest /= SECOND_ACTS_AFTER_MILLIS.length;
      oldList = rest % 2 == 1;
      fates = rest / 2;
      mutation =
          planted == Planted.JOINS_WITHOUT_COUNT
              ? BoundedExplorationTest::withoutCount
              : UnaryOperator.identity();
      silence =
          planted == Planted.SILENCE_TAKEN_FOR_DONE
              ? GroupOrder.Outcome.DONE
              : GroupOrder.Outcome.UNKNOWN;
      List.of("n0", "n1", "n2", "n3").forEach(id -> nodes.add(id, "domain"));
    }

    void play(Found found) {
      while (now < LENGTH_NANOS) {
        now += STEP_NANOS;
        nodes.advance(now);
        if (now == FORMED_BY_NANOS) {
          pull();
        }
        act(first, true);
        if (now >= secondActsNanos) {
          act(second, !oldList || now >= secondActsNanos + 2_000 * MILLI);
        }
        found.states.add(nodes.list(0).toString().hashCode());
      }
      found.courses++;
      nodes.violations.forEach(text -> found.violations.add(trigger + " " + text));
    }

    private void pull() {
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
        case MEMBER_LEAVES -> nodes.drain(other.id());
        case MEMBER_STARTS_AGAIN -> {
          nodes.kill(other.id());
          nodes.startAgain(other.id());
        }
        case HEAD_SUSPECTED -> stalled = Set.of(head.id() + "@" + head.membership().epoch());
        case HEAD_SILENT -> {
          stalled = Set.of(head.id() + "@" + head.membership().epoch());
          silentHead = head.id();
          nodes.hideEntry(silentHead, true);
        }
      }
    }

    private void act(Leader leader, boolean seesList) {
      if (seesList) {
        leader.list = nodes.list(0);
      }
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              leader.lastModels.complete(leader.list).stream().toList(),
              ENGINE,
              ModelDemand.declared(ENGINE),
              stalled,
              GroupPlannerTest.SIGHT,
              Set.of(),
              leader.fence);
      for (GroupOrder order : leader.planner.plan(input, now)) {
        send(leader, mutation.apply(order));
      }
    }

    private void send(Leader leader, GroupOrder order) {
      boolean silent = order.node().id().equals(silentHead) && now < SILENT_UNTIL_NANOS;
      if (order.kind() == GroupOrder.Kind.REPORT) {
        NodeReport report = silent ? null : nodes.report(order.node().id());
        leader.planner.report(order.node(), report, now);
        return;
      }
      Fate fate = silent ? Fate.LOST : nextFate();
      GroupOrder.Outcome outcome = silence;
      if (fate == Fate.ANSWERED) {
        outcome = nodes.order(order);
      } else if (fate == Fate.LATE) {
        nodes.orderLate(order, LATE_NANOS);
      }
      leader.planner.outcome(order, outcome, now);
    }

    private Fate nextFate() {
      if (now < FORMED_BY_NANOS || fated == DEPTH) {
        return Fate.ANSWERED;
      }
      fated++;
      Fate fate = Fate.values()[fates % FATES];
      fates /= FATES;
      return fate;
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

  private static Found search(Planted planted) {
    int courses = SECOND_ACTS_AFTER_MILLIS.length * 2;
    for (int order = 0; order < DEPTH; order++) {
      courses *= FATES;
    }
    Found found = new Found();
    for (Trigger trigger : Trigger.values()) {
      for (int number = 0; number < courses; number++) {
        new Course(trigger, number, planted).play(found);
      }
    }
    return found;
  }

  /** 1,944 courses, 234 different lists of nodes; 17,496 courses at a depth of 6 by hand. */
  @Test
  void noCourseBreaksAPromise() {
    Found found = search(Planted.NONE);
    assertThat(found.courses).isEqualTo(1_944);
    assertThat(found.states.size()).isGreaterThan(100);
    assertThat(found.violations).isEmpty();
  }

  @Test
  void joinsThatNameNoCountAreFoundOut() {
    assertThat(search(Planted.JOINS_WITHOUT_COUNT).violations).isNotEmpty();
  }

  @Test
  void silenceThatIsTakenForAnAnswerIsFoundOut() {
    assertThat(search(Planted.SILENCE_TAKEN_FOR_DONE).violations).isNotEmpty();
  }
}
