package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Groups whose processes only pause are kept, and groups that have lost a member are not. */
class PausedGroupsTest {

  private static final long MILLI = SimulatedNodes.MILLI;
  private static final long STEP_MILLIS = 25;

  /** How long streams stand still before a daemon suspects the head. */
  private static final long STALL_MILLIS = 250;

  /** How long after the first suspicion the daemons' observations confirm it. */
  private static final long CONFIRMED_MILLIS = 100;

  /** How long after its streams go on the leader still hears that a head is suspected. */
  private static final long LINGER_MILLIS = 300;

  /** How long after a pause the streams of a group go on. */
  private static final long PASS_MILLIS = 50;

  private static final long CALL_TIMEOUT_MILLIS = 200;

  /** The interval of the leader's requests to one member. */
  private static final long ASK_MILLIS = 250;

  private static final Policy PACE =
      new Policy(true, true, true, true, true, false, false, true, false);

  private record Pause(Set<String> nodes, long fromNanos, long untilNanos) {
    boolean holds(String id, long now) {
      return nodes.contains(id) && fromNanos <= now && now < untilNanos;
    }
  }

  /** A request for a report that waits for its answer. */
  private record Call(Node node, long sentNanos) {}

  /** Five groups, of which all have streams, and their leader. */
  private static final class Fleet {
    final SimulatedNodes nodes = new SimulatedNodes(GroupPlannerTest.ENGINE);
    final LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
    final boolean pace;
    GroupPlanner planner;
    long fence;
    final List<String> log = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    final List<Pause> pauses = new ArrayList<>();
    final Set<String> hung = new HashSet<>();
    final Set<String> cutHeads = new HashSet<>();
    final Set<String> resting = new HashSet<>();
    final Map<String, Long> progressNanos = new HashMap<>();
    final Map<String, Long> suspectedSince = new HashMap<>();
    final Map<String, Long> suspectedUntil = new HashMap<>();
    final Map<String, Long> lastAsked = new HashMap<>();
    long shortestAskMillis = Long.MAX_VALUE;
    Set<String> reachable = GroupPlannerTest.REACHABLE;
    final Set<String> opensNoConnection = new HashSet<>();
    boolean observes;
    boolean confirms = true;
    long now;

    Fleet(boolean pace) {
      this.pace = pace;
      for (int index = 0; index < 9; index++) {
        nodes.add("a" + index, "domain-a");
        nodes.add("b" + index, "domain-b");
      }
      newLeader();
      run(30_000);
      limiter.enforce();
      assertThat(heads()).hasSize(5);
      observes = true;
      run(2_000);
      assertThat(count("dissolved")).isZero();
    }

    void newLeader() {
      fence++;
      planner =
          new GroupPlanner(
              "p" + fence + "-", SimulatedNodes.STALL_NANOS, limiter, pace ? PACE : Policy.DEFAULT);
    }

    List<Node> heads() {
      return nodes.list(0).stream()
          .filter(node -> node.membership() != null && node.membership().rank() == 0)
          .toList();
    }

    Set<String> headIds() {
      return Set.copyOf(heads().stream().map(Node::id).toList());
    }

    String otherMember(Node head) {
      return members(head).stream().filter(id -> !id.equals(head.id())).findFirst().orElseThrow();
    }

    List<String> members(Node head) {
      return nodes.list(60_000 * MILLI).stream()
          .filter(node -> node.membership() != null)
          .filter(node -> node.membership().group().equals(head.membership().group()))
          .map(Node::id)
          .toList();
    }

    void pause(Set<String> ids, long inMillis, long forMillis) {
      long from = now + inMillis * MILLI;
      pauses.add(new Pause(ids, from, from + forMillis * MILLI));
    }

    private boolean isPaused(String id) {
      return pauses.stream().anyMatch(pause -> pause.holds(id, now));
    }

    private boolean isUnanswered(String id) {
      return isPaused(id) || hung.contains(id) || opensNoConnection.contains(id);
    }

    private boolean standsStill(Node head) {
      return cutHeads.contains(head.id())
          || members(head).stream().anyMatch(id -> isUnanswered(id) || nodes.isDead(id));
    }

    private SuspectedHeads observe() {
      Set<String> confirmed = new HashSet<>();
      Set<String> suspected = new HashSet<>();
      if (!observes) {
        return SuspectedHeads.NONE;
      }
      for (Node head : heads()) {
        String name = head.id() + "@" + head.membership().epoch();
        boolean goesOn = !standsStill(head);
        progressNanos.putIfAbsent(name, now);
        if (goesOn && now - lastStill(name) >= PASS_MILLIS * MILLI) {
          progressNanos.put(name, now);
        } else if (!goesOn) {
          suspectedUntil.put("still " + name, now);
        }
        if (now - progressNanos.get(name) >= STALL_MILLIS * MILLI) {
          suspectedSince.putIfAbsent(name, now);
          suspectedUntil.put(name, now + LINGER_MILLIS * MILLI);
        }
        if (suspectedUntil.getOrDefault(name, 0L) <= now) {
          suspectedSince.remove(name);
          continue;
        }
        suspected.add(name);
        if (confirms && now - suspectedSince.get(name) >= CONFIRMED_MILLIS * MILLI) {
          confirmed.add(name);
        }
      }
      return new SuspectedHeads(confirmed, suspected, headIds());
    }

    private static Set<String> idsOf(Set<String> headsAtEpoch) {
      Set<String> ids = new HashSet<>();
      headsAtEpoch.forEach(head -> ids.add(head.substring(0, head.lastIndexOf('@'))));
      return ids;
    }

    private long lastStill(String name) {
      return suspectedUntil.getOrDefault("still " + name, Long.MIN_VALUE / 2);
    }

    void run(long millis) {
      long end = now + millis * MILLI;
      while (now < end) {
        step();
      }
    }

    /** Runs until a condition holds, and returns how long that took, in milliseconds. */
    long millisUntil(BooleanSupplier condition) {
      long begin = now;
      while (!condition.getAsBoolean() && now - begin < 20_000 * MILLI) {
        step();
      }
      return (now - begin) / MILLI;
    }

    private void step() {
      now += STEP_MILLIS * MILLI;
      nodes.advance(now);
      answerCalls();
      SuspectedHeads suspects = observe();
      GroupPlanner.Input input =
          new GroupPlanner.Input(
              nodes.list(3_600 * MILLI),
              GroupPlannerTest.ENGINE,
              ModelDemand.declared(GroupPlannerTest.ENGINE),
              suspects,
              reachable,
              resting,
              fence,
              Set.of(),
              idsOf(suspects.suspected()));
      for (GroupOrder order : planner.plan(input, now)) {
        send(order);
      }
      log.addAll(planner.drainLogLines());
    }

    private void send(GroupOrder order) {
      String id = order.node().id();
      assertThat(resting).doesNotContain(id);
      if (order.kind() == GroupOrder.Kind.REPORT) {
        Long before = lastAsked.put(id, now);
        long interval = before == null ? Long.MAX_VALUE : (now - before) / MILLI;
        shortestAskMillis = Math.min(shortestAskMillis, interval);
        calls.add(new Call(order.node(), now));
      } else if (isUnanswered(id)) {
        planner.outcome(order, GroupOrder.Outcome.UNKNOWN, now);
      } else {
        planner.outcome(order, nodes.order(order), now);
      }
    }

    private void answerCalls() {
      Iterator<Call> waiting = calls.iterator();
      while (waiting.hasNext()) {
        Call call = waiting.next();
        String id = call.node().id();
        boolean timedOut = now - call.sentNanos() >= CALL_TIMEOUT_MILLIS * MILLI;
        boolean waits = isUnanswered(id);
        if (!waits || timedOut) {
          waiting.remove();
          planner.report(call.node(), waits ? missing(id) : nodes.report(id), now);
        }
      }
    }

    private ReportOutcome missing(String id) {
      if (opensNoConnection.contains(id)) {
        return ReportOutcome.Missing.UNREACHABLE;
      }
      return hung.contains(id) ? ReportOutcome.Missing.REFUSED : ReportOutcome.Missing.SILENT;
    }

    long count(String text) {
      return log.stream().filter(line -> line.contains(text)).count();
    }

    long millisUntilDissolved(Node head) {
      String line = "group=" + head.membership().group() + " epoch=";
      return millisUntil(
          () -> log.stream().anyMatch(l -> l.startsWith(line) && l.contains("stands still")));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void groupsAreKeptWhenAllNodesPause(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.pause(Set.copyOf(fleet.nodes.ids()), 100, 1_300);
    fleet.run(5_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @CsvSource({"true,1000", "true,1300", "true,2500", "false,1000", "false,1300", "false,2500"})
  void groupsAreKeptWhenAllHeadsPause(boolean pace, long millis) {
    Fleet fleet = new Fleet(pace);
    fleet.pause(fleet.headIds(), 100, millis);
    fleet.run(6_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @CsvSource({"true,200", "true,300", "true,400", "false,200", "false,300", "false,400"})
  void groupsAreKeptWhenAllHeadsPauseTwiceInARow(boolean pace, long betweenMillis) {
    Fleet fleet = new Fleet(pace);
    fleet.pause(fleet.headIds(), 100, 1_300);
    fleet.pause(fleet.headIds(), 1_400 + betweenMillis, 1_300);
    fleet.run(8_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void groupsAreKeptWhenMembersThatAreNoHeadsPause(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Set<String> members = new HashSet<>();
    fleet.heads().forEach(head -> members.add(fleet.otherMember(head)));
    fleet.pause(members, 100, 1_300);
    fleet.run(5_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupIsKeptWhenItsHeadAlonePauses(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.pause(Set.of(fleet.heads().get(0).id()), 100, 1_300);
    fleet.run(5_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void groupsAreKeptWhenAPausedHeadMayNotBeAsked(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.resting.add(fleet.heads().get(0).id());
    fleet.pause(fleet.headIds(), 100, 1_300);
    fleet.run(5_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @CsvSource({
    "true,200", "true,500", "true,1100", "true,1350", "true,1450", "true,1600",
    "false,200", "false,500", "false,1100", "false,1350", "false,1450", "false,1600"
  })
  void aGroupIsKeptWhenTheLeaderChangesDuringOrAfterItsPause(boolean pace, long afterMillis) {
    Fleet fleet = new Fleet(pace);
    fleet.pause(Set.of(fleet.heads().get(0).id()), 100, 1_300);
    fleet.run(afterMillis);
    fleet.calls.clear();
    fleet.newLeader();
    fleet.run(5_000);
    assertThat(fleet.count("dissolved")).isZero();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupWithAMemberThatRefusesConnectionsIsDissolvedOnceConfirmed(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    fleet.nodes.kill(fleet.otherMember(head));
    assertThat(fleet.millisUntilDissolved(head))
        .isLessThanOrEqualTo(STALL_MILLIS + CONFIRMED_MILLIS + STEP_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aDeadMemberIsFoundAsSoonWhileAllOthersPause(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    String dead = fleet.otherMember(head);
    Set<String> others = new HashSet<>(fleet.nodes.ids());
    others.remove(dead);
    fleet.nodes.kill(dead);
    fleet.pause(others, 0, 1_300);
    assertThat(fleet.millisUntilDissolved(head))
        .isLessThanOrEqualTo(STALL_MILLIS + CONFIRMED_MILLIS + STEP_MILLIS);
    fleet.run(4_000);
    assertThat(fleet.count("stands still")).isEqualTo(1);
  }

  /** A connection to a host that is down neither opens nor is refused within the call's time. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupWithAMemberThatAcceptsNoConnectionIsDissolvedWithinTheTimeOfACall(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    fleet.hung.add(fleet.otherMember(head));
    assertThat(fleet.millisUntilDissolved(head))
        .isLessThanOrEqualTo(STALL_MILLIS + CALL_TIMEOUT_MILLIS + 2 * STEP_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupWhoseMemberHasEndedIsDissolvedThoughOneDaemonAloneSuspectsIt(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.confirms = false;
    Node head = fleet.heads().get(0);
    fleet.nodes.kill(fleet.otherMember(head));
    assertThat(fleet.millisUntilDissolved(head))
        .isLessThanOrEqualTo(STALL_MILLIS + ASK_MILLIS + 2 * STEP_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupWhoseMemberOpensNoConnectionIsDissolvedThoughOneDaemonAloneSuspectsIt(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.confirms = false;
    Node head = fleet.heads().get(0);
    fleet.opensNoConnection.add(fleet.otherMember(head));
    assertThat(fleet.millisUntilDissolved(head))
        .isLessThanOrEqualTo(STALL_MILLIS + 3 * ASK_MILLIS + CALL_TIMEOUT_MILLIS + 2 * STEP_MILLIS);
  }

  /** Packets get lost, and the queue of a process that pauses may be full for a moment. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupThatOneDaemonSuspectsIsKeptWhenAMemberOpensNoConnectionThreeTimes(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.confirms = false;
    Node head = fleet.heads().get(0);
    fleet.opensNoConnection.add(fleet.otherMember(head));
    fleet.run(STALL_MILLIS + 2 * ASK_MILLIS + CALL_TIMEOUT_MILLIS + 2 * STEP_MILLIS);
    fleet.opensNoConnection.clear();
    fleet.run(5_000);
    assertThat(fleet.count("stands still")).isZero();
  }

  /** Then it is the leader that is cut off. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupThatOneDaemonSuspectsIsKeptWhenTheLeaderConnectsNoMember(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.confirms = false;
    fleet.opensNoConnection.addAll(fleet.members(fleet.heads().get(0)));
    fleet.run(2_000);
    assertThat(fleet.count("stands still")).isZero();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aHeadThatIsCutOffFromAMemberIsFoundWhileAllAnswer(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    fleet.cutHeads.add(head.id());
    assertThat(fleet.millisUntilDissolved(head))
        .isLessThanOrEqualTo(STALL_MILLIS + CONFIRMED_MILLIS + STEP_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupWhoseMemberStaysSilentIsDissolvedAfterThreeSeconds(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    fleet.pause(Set.of(fleet.otherMember(head)), 0, 60_000);
    assertThat(fleet.millisUntilDissolved(head)).isBetween(3_000L, 3_800L);
  }

  /** Daemons give up their suspicions after two seconds and begin them anew much later. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aGroupWhoseMemberStaysSilentIsDissolvedThoughSuspicionsExpire(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    fleet.pause(Set.of(fleet.otherMember(head)), 0, 60_000);
    fleet.run(2_250);
    fleet.observes = false;
    assertThat(2_250 + fleet.millisUntilDissolved(head)).isBetween(3_000L, 3_800L);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aHeadThatStandsStillAfterItsSilenceIsDissolvedSoonAfterIt(boolean pace) {
    Fleet fleet = new Fleet(pace);
    Node head = fleet.heads().get(0);
    fleet.cutHeads.add(head.id());
    fleet.pause(Set.of(head.id()), 0, 1_300);
    assertThat(fleet.millisUntilDissolved(head)).isBetween(1_900L, 2_300L);
  }

  /**
   * Guards against a leader that opens connections to each node of a data centre that is cut off.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noMemberIsAskedInADataCentreThatIsCutOff(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.reachable = Set.of("b");
    Set<String> members = new HashSet<>();
    fleet.heads().forEach(head -> members.addAll(fleet.members(head)));
    fleet.pause(fleet.headIds(), 0, 2_000);
    fleet.lastAsked.clear();
    fleet.run(2_000);
    assertThat(fleet.lastAsked.keySet()).doesNotContainAnyElementsOf(members);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noMemberIsAskedMoreOftenThanFourTimesASecond(boolean pace) {
    Fleet fleet = new Fleet(pace);
    fleet.pause(fleet.headIds(), 0, 2_000);
    fleet.run(5_000);
    assertThat(fleet.shortestAskMillis).isGreaterThanOrEqualTo(250);
  }
}
