package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.serving.core.limit.ColdPeriods;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;

/** Which upstream a request is sent to, and which requests are admitted when capacity is short. */
class DispatcherTest {

  private static final DispatchRequest FIRST =
      new DispatchRequest("engines", "large", DispatchRequest.AdmissionClass.FIRST);
  private static final int SLOTS = 10;

  private static final long MILLI = 1_000_000L;

  private final UpstreamGate gate =
      new UpstreamGate(
          new SharedLimits(
              new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));
  private final AtomicLong now = new AtomicLong();
  private final Dispatcher dispatcher = new Dispatcher("here", gate, now::get);

  private static Node head(String id, String dataCentre) {
    return new Node(
        NodeIncarnation.only(id),
        "engines",
        new Endpoint("10.0.0.1", 1),
        dataCentre,
        SLOTS,
        false,
        "domain",
        "large",
        List.of(),
        new Membership("g", 1, 0, MemberState.OPEN));
  }

  private static String target(Choice choice) {
    return ((Choice.Send) choice).node().id();
  }

  @Test
  void choosesTheLeastLoadedHead() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("a", 5));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
  }

  @Test
  void prefersTheLocalDataCentreUnlessItsHeadIsMuchFuller() {
    dispatcher.setUpstreams(List.of(head("a", "elsewhere"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("b", 4));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void fullHeadAdmitsRetriesButNoFirstAttempts() {
    dispatcher.setUpstreams(List.of(head("a", "here")));
    dispatcher.setPeersInFlight(Map.of("a", SLOTS));
    assertThat(dispatcher.choose(FIRST, Set.of())).isInstanceOf(Choice.Refuse.class);
    assertThat(target(dispatcher.choose(FIRST.asReturning(), Set.of()))).isEqualTo("a");
    dispatcher.setPeersInFlight(Map.of("a", 2 * SLOTS));
    assertThat(dispatcher.choose(FIRST.asReturning(), Set.of())).isInstanceOf(Choice.Refuse.class);
  }

  @Test
  void plainUpstreamIsFullWithTwoRequestsWaitingPerSlot() {
    Node plain =
        new Node(
            NodeIncarnation.only("p"),
            "plain",
            new Endpoint("10.0.0.1", 1),
            "here",
            SLOTS,
            false,
            "",
            null,
            List.of(),
            null);
    DispatchRequest request =
        new DispatchRequest("plain", "", DispatchRequest.AdmissionClass.FIRST);
    dispatcher.setUpstreams(List.of(plain));
    dispatcher.setPeersInFlight(Map.of("p", 3 * SLOTS - 1));
    assertThat(target(dispatcher.choose(request, Set.of()))).isEqualTo("p");
    dispatcher.setPeersInFlight(Map.of("p", 3 * SLOTS));
    assertThat(dispatcher.choose(request, Set.of())).isInstanceOf(Choice.Refuse.class);
  }

  @Test
  void excludesSuspectAndAlreadyTriedHeads() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here"), head("c", "here")));
    dispatcher.state("a").markSuspect(1);
    assertThat(target(dispatcher.choose(FIRST, Set.of("b")))).isEqualTo("c");
  }

  @Test
  void pausedHeadIsChosenOnlyWhereNoOtherTakesTheRequest() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", SLOTS - 1));
    dispatcher.state("a").markPaused();
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("b", SLOTS));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void headSuspectedByPeersIsTheLastResort() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", 7));
    dispatcher.setReportedSuspects(Set.of("a"));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    assertThat(target(dispatcher.choose(FIRST, Set.of("b")))).isEqualTo("a");
  }

  @Test
  void manyDaemonsDoNotAllSendToANewIdleHead() {
    List<Node> heads = new ArrayList<>();
    Map<String, Integer> inFlight = new HashMap<>();
    for (int index = 0; index < 20; index++) {
      heads.add(head("h" + index, "here"));
      inFlight.put("h" + index, index == 0 ? 0 : 5);
    }
    dispatcher.setUpstreams(heads);
    dispatcher.setPeersInFlight(inFlight);
    dispatcher.setDaemonCount(60);
    int toTheIdleHead = 0;
    for (int request = 0; request < 1_000; request++) {
      toTheIdleHead += "h0".equals(target(dispatcher.choose(FIRST, Set.of()))) ? 1 : 0;
    }
    assertThat(toTheIdleHead).isBetween(40, 200);
  }

  @Test
  void requestIsNotRefusedWhileAnyHeadHasRoom() {
    List<Node> heads = new ArrayList<>();
    Map<String, Integer> inFlight = new HashMap<>();
    for (int index = 0; index < 20; index++) {
      heads.add(head("h" + index, "here"));
      inFlight.put("h" + index, index == 7 ? 0 : SLOTS);
    }
    dispatcher.setUpstreams(heads);
    dispatcher.setPeersInFlight(inFlight);
    dispatcher.setDaemonCount(60);
    for (int request = 0; request < 100; request++) {
      assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("h7");
    }
  }

  @Test
  void unreachableHeadsAreUsedOnlyWhenNoOtherServes() {
    dispatcher.setUpstreams(List.of(head("a", "elsewhere"), head("b", "here")));
    dispatcher.setReachable("here"::equals);
    dispatcher.setPeersInFlight(Map.of("b", SLOTS));
    assertThat(dispatcher.choose(FIRST, Set.of())).isInstanceOf(Choice.Refuse.class);
    dispatcher.setUpstreams(List.of(head("a", "elsewhere")));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  private static NodeResponse pauseOf(long millis) {
    return new NodeResponse(503, true, false, millis, null, null);
  }

  @Test
  void headsWithinARetryAfterPauseAreExcluded() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", SLOTS - 1));
    gate.recordResponse(NodeIncarnation.only("a"), pauseOf(3_000), now.get());
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("b", SLOTS));
    assertThat(dispatcher.choose(FIRST, Set.of())).isInstanceOf(Choice.Refuse.class);
    now.set(3_000 * MILLI);
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void refusalStatesWhenTheFirstPauseEnds() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    gate.recordResponse(NodeIncarnation.only("a"), pauseOf(3_000), now.get());
    gate.recordResponse(NodeIncarnation.only("b"), pauseOf(1_000), now.get());
    now.set(200 * MILLI);
    Choice choice = dispatcher.choose(FIRST, Set.of("b"));
    assertThat(choice)
        .isEqualTo(new Choice.Refuse("every upstream rests or was tried", 800 * MILLI));
  }

  private void turnCold(String... ids) {
    ServiceSpec engines =
        new ServiceSpec("engines", 50, null, new ServiceSpec.ColdStart(30_000, 15));
    gate.limits().coldPeriods().update(List.of(), Map.of("engines", engines), now.get());
    for (String id : ids) {
      gate.limits()
          .coldPeriods()
          .extend(NodeIncarnation.only(id), "engines", 30_000, ColdPeriods.Source.ENTRY, now.get());
    }
  }

  /** Guards against a cold head that looks idle and attracts what warm heads have room for. */
  @Test
  void coldHeadIsUsedOnlyWhenNoWarmOneHasRoom() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    turnCold("a");
    dispatcher.choose(FIRST, Set.of());
    now.set(1_000 * MILLI);
    dispatcher.setPeersInFlight(Map.of("b", SLOTS - 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("b", SLOTS));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
    now.set(30_000 * MILLI);
    dispatcher.setPeersInFlight(Map.of("b", 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void refusalOfColdHeadsNamesThemAndTheTimeOfTheNextRequest() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    turnCold("a", "b");
    Choice choice = dispatcher.choose(FIRST, Set.of());
    assertThat(choice).isInstanceOf(Choice.Refuse.class);
    Choice.Refuse refusal = (Choice.Refuse) choice;
    assertThat(refusal.reason()).isEqualTo("every upstream is cold");
    assertThat(refusal.retryAfterNanos()).isBetween(60 * MILLI, 70 * MILLI);
  }

  @Test
  void rejectingHeadIsUsedLastDuringABackoffThatDoubles() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", SLOTS - 1));
    dispatcher.state("a").requestRejected(now.get());
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    now.set(100 * MILLI);
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
    dispatcher.state("a").requestRejected(now.get());
    now.set(299 * MILLI);
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    now.set(300 * MILLI);
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void rejectingHeadIsUsedWhenNoOtherHasRoom() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.state("a").requestRejected(now.get());
    dispatcher.setPeersInFlight(Map.of("b", SLOTS));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void backoffEndsWhenTheHeadAcceptsARequest() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", 1));
    dispatcher.state("a").requestRejected(now.get());
    dispatcher.state("a").requestAccepted();
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void headsThatRejectRequestsOfPeersAreUsedLast() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPeersInFlight(Map.of("b", SLOTS - 1));
    dispatcher.setReportedRejecting(Set.of("a"));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("b", SLOTS));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  @Test
  void reportsPausedHeadsAndHeadsThatRejectThreeTimes() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here"), head("c", "here")));
    gate.recordResponse(NodeIncarnation.only("c"), pauseOf(10_000), now.get());
    UpstreamState rejecting = dispatcher.state("a");
    rejecting.requestRejected(now.get());
    now.set(100 * MILLI);
    rejecting.requestRejected(now.get());
    assertThat(dispatcher.rejecting()).containsExactly("c");
    now.set(300 * MILLI);
    rejecting.requestRejected(now.get());
    assertThat(dispatcher.rejecting()).containsExactlyInAnyOrder("a", "c");
    now.set(700 * MILLI);
    assertThat(dispatcher.rejecting()).containsExactly("c");
  }

  @Test
  void simultaneousRejectionsStartASingleBackoff() {
    for (int request = 0; request < 20; request++) {
      dispatcher.state("a").requestRejected(now.get());
    }
    assertThat(dispatcher.state("a").isBackedOff(99 * MILLI)).isTrue();
    assertThat(dispatcher.state("a").isBackedOff(100 * MILLI)).isFalse();
  }

  @Test
  void callerWithLessTimeThanOthersOfItsRouteIsARetry() {
    CallerRetryDetector callers = new CallerRetryDetector();
    assertThat(callers.isRetry("chat", 5_000)).isFalse();
    assertThat(callers.isRetry("chat", 4_995)).isFalse();
    assertThat(callers.isRetry("chat", 4_300)).isTrue();
    assertThat(callers.isRetry("other", 4_300)).isFalse();
  }

  /** Guards against one slow head that gets as many requests as a fast one. */
  @Test
  void slowHeadIsUsedOnlyWhenAllOthersAreFull() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here"), head("c", "elsewhere")));
    dispatcher.setPaces(id -> "a".equals(id) ? 12 : 1);
    dispatcher.setPeersInFlight(Map.of("b", SLOTS - 1, "c", SLOTS - 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isNotEqualTo("a");
    dispatcher.setPeersInFlight(Map.of("b", SLOTS, "c", SLOTS, "a", 3));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  /** Guards against refusals for the sake of pace alone, when all heads are slow. */
  @Test
  void slowHeadsServeByLoadTimesPaceWhenThereAreNoOthers() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPaces(id -> "a".equals(id) ? 12 : 3);
    dispatcher.setPeersInFlight(Map.of("b", 5, "a", 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("b", 9, "a", 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
    dispatcher.setPeersInFlight(Map.of("b", SLOTS, "a", SLOTS - 1));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  /**
   * Guards against an idle head of reduced pace that attracts requests from lightly loaded ones.
   */
  @Test
  void requestsAreSpreadByLoadTimesPaceBelowTheLimitForSlowHeads() {
    dispatcher.setUpstreams(List.of(head("a", "here"), head("b", "here")));
    dispatcher.setPaces(id -> "a".equals(id) ? 1.8 : 1);
    dispatcher.setPeersInFlight(Map.of("a", 3, "b", 5));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("b");
    dispatcher.setPeersInFlight(Map.of("a", 3, "b", 8));
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("a");
  }

  /** Guards against a choice that changes although no pace is known, as with the policy off. */
  @Test
  void choicesAreTheSameWithoutPacesAndWithNormalOnes() {
    Dispatcher other = new Dispatcher("here", new java.util.Random(1), gate, now::get);
    Dispatcher plain = new Dispatcher("here", new java.util.Random(1), gate, now::get);
    other.setPaces(id -> 1);
    List<Node> heads = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      heads.add(head("h" + index, index % 3 == 0 ? "elsewhere" : "here"));
    }
    java.util.Random loads = new java.util.Random(2);
    for (Dispatcher each : List.of(other, plain)) {
      each.setUpstreams(heads);
      each.setDaemonCount(30);
    }
    for (int request = 0; request < 2_000; request++) {
      Map<String, Integer> inFlight = new HashMap<>();
      heads.forEach(node -> inFlight.put(node.id(), loads.nextInt(SLOTS + 2)));
      other.setPeersInFlight(inFlight);
      plain.setPeersInFlight(inFlight);
      assertThat(other.choose(FIRST, Set.of())).isEqualTo(plain.choose(FIRST, Set.of()));
    }
  }
}
