package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.SilenceCheck;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against heads that are given up because they are silent, and dead ones that are kept. */
class SilenceMonitorTest {

  private static final long MILLI = 1_000_000L;
  private static final SilenceMonitor.Silence SILENCE =
      new SilenceMonitor.Silence(150 * MILLI, false);
  private static final long TICK_MILLIS = 25;

  private final List<Node> heads = new ArrayList<>();
  private final Map<String, SilenceCheck> queries = new HashMap<>();
  private final Dispatcher dispatcher =
      new Dispatcher(
          "a",
          new UpstreamGate(
              new SharedLimits(
                  new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a")))),
          this::nowNanos);
  private final SilenceMonitor monitor =
      new SilenceMonitor(
          dispatcher,
          this::connect,
          new GatewayMetrics(new SimpleMeterRegistry()),
          (head, finding) -> {});
  private long nowMillis;
  private boolean acceptsConnections = true;
  private boolean answersAtOnce;
  private boolean hasMember;
  private boolean memberAcceptsConnections = true;
  private boolean memberAnswersAtOnce;
  private int askedMembers;

  private long nowNanos() {
    return nowMillis * MILLI;
  }

  @BeforeEach
  void serveFourHeadsWithAStreamEach() {
    for (int number = 0; number < 4; number++) {
      heads.add(head("n" + number));
    }
    dispatcher.setUpstreams(heads);
    for (Node head : heads) {
      state(head.id()).requestSent(0);
      state(head.id()).responseStarted();
      state(head.id()).recordProgress(0);
    }
  }

  private static Node head(String id) {
    return new Node(
        NodeIncarnation.only(id),
        "s",
        new Endpoint("127.0.0.1", 1),
        "a",
        10,
        false,
        "domain",
        "m",
        List.of(),
        new Membership("g" + id, 1, 0, MemberState.OPEN));
  }

  private UpstreamState state(String id) {
    return dispatcher.state(id);
  }

  /** Checks all heads regularly up to a time; heads that go on have an event at each check. */
  private void runUntil(long millis, List<String> goingOn) {
    while (nowMillis < millis) {
      nowMillis += TICK_MILLIS;
      goingOn.forEach(id -> state(id).recordProgress(nowNanos()));
      monitor.beginRound(nowNanos());
      heads.forEach(head -> monitor.check(head, SILENCE, nowNanos()));
    }
  }

  private void connect(Node head, SilenceCheck check) {
    queries.put(head.id(), check);
    if (acceptsConnections) {
      check.connected(nowNanos());
    }
    if (answersAtOnce) {
      check.answered(nowNanos());
    }
    if (hasMember) {
      askMember(check.addMember(nowNanos()));
    }
  }

  private void askMember(SilenceCheck member) {
    askedMembers++;
    if (memberAcceptsConnections) {
      member.connected(nowNanos());
    }
    if (memberAnswersAtOnce) {
      member.answered(nowNanos());
    }
  }

  @Test
  void headThatPausesIsKeptForThreeSeconds() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(2_900, others);
    assertThat(state("n0").isPaused()).isTrue();
    assertThat(state("n0").isSuspect()).isFalse();
    runUntil(3_300, others);
    assertThat(state("n0").isSuspect()).isTrue();
  }

  /** A process that pauses accepts connections only until the queue of its socket is full. */
  @Test
  void headThatPausesIsKeptThoughNoFurtherConnectionOpens() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(1_000, others);
    assertThat(state("n0").isPaused()).isTrue();
    acceptsConnections = false;
    runUntil(2_900, others);
    assertThat(state("n0").isSuspect()).isFalse();
    runUntil(3_300, others);
    assertThat(state("n0").isSuspect()).isTrue();
  }

  @Test
  void headWhoseMemberPausesIsKeptAsPausing() {
    answersAtOnce = true;
    hasMember = true;
    runUntil(400, List.of("n1", "n2", "n3"));
    assertThat(state("n0").isPaused()).isTrue();
  }

  /** Each query takes a place in the queue of the member's socket. */
  @Test
  void memberThatPausesIsAskedOnceASecond() {
    answersAtOnce = true;
    hasMember = true;
    runUntil(1_100, List.of("n1", "n2", "n3"));
    assertThat(askedMembers).isLessThanOrEqualTo(2);
  }

  /** The queue of a member's socket fills as that of a head does. */
  @Test
  void headIsKeptThoughItsPausingMemberAcceptsNoFurtherConnection() {
    answersAtOnce = true;
    hasMember = true;
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(1_000, others);
    memberAcceptsConnections = false;
    runUntil(2_900, others);
    assertThat(state("n0").isPaused()).isTrue();
    assertThat(state("n0").isSuspect()).isFalse();
  }

  /** The streams go on a pass after the member does. */
  @Test
  void headIsKeptWhenItsMemberAnswersAgainAfterAPause() {
    answersAtOnce = true;
    hasMember = true;
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(1_200, others);
    memberAnswersAtOnce = true;
    runUntil(1_300, others);
    assertThat(state("n0").isSuspect()).isFalse();
  }

  @Test
  void headThatAcceptedAConnectionLaterInItsPauseIsKeptThoughNoFurtherOneOpens() {
    acceptsConnections = false;
    runUntil(300, List.of());
    assertThat(state("n0").isPaused()).isTrue();
    acceptsConnections = true;
    runUntil(1_500, List.of());
    acceptsConnections = false;
    runUntil(2_900, List.of("n1", "n2", "n3"));
    assertThat(state("n0").isSuspect()).isFalse();
  }

  /** The daemon has not read what has arrived meanwhile. */
  @Test
  void headIsKeptInTheFirstRoundOfADaemonThatStoodStillForLong() {
    runUntil(100, List.of("n1", "n2", "n3"));
    nowMillis += 3_500;
    runUntil(nowMillis + TICK_MILLIS, List.of());
    assertThat(heads).noneMatch(head -> state(head.id()).isSuspect());
    runUntil(nowMillis + 200, List.of("n1", "n2", "n3"));
    assertThat(state("n0").isSuspect()).isTrue();
  }

  @Test
  void headThatEndsWhileItPausesIsSuspectAsSoonAsAConnectionIsRefused() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(1_000, others);
    acceptsConnections = false;
    queries.clear();
    while (queries.isEmpty()) {
      runUntil(nowMillis + TICK_MILLIS, others);
    }
    queries.get("n0").disconnected();
    runUntil(nowMillis + TICK_MILLIS, others);
    assertThat(state("n0").isSuspect()).isTrue();
  }

  @Test
  void headWhoseConnectionIsRefusedIsSuspectAsSoonAsItsSilenceIsTooLong() {
    acceptsConnections = false;
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(125, others);
    queries.get("n0").disconnected();
    runUntil(150, others);
    assertThat(state("n0").isSuspect()).isFalse();
    runUntil(175, others);
    assertThat(state("n0").isSuspect()).isTrue();
  }

  @Test
  void headThatNoConnectionReachesIsSuspectAsSoonAsItsSilenceIsTooLong() {
    acceptsConnections = false;
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(150, others);
    assertThat(state("n0").isSuspect()).isFalse();
    runUntil(175, others);
    assertThat(state("n0").isStalled()).isTrue();
  }

  @Test
  void headThatAnswersIsSuspectAsSoonAsItsSilenceIsTooLong() {
    answersAtOnce = true;
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(150, others);
    assertThat(state("n0").isSuspect()).isFalse();
    runUntil(175, others);
    assertThat(state("n0").isStalled()).isTrue();
  }

  @Test
  void headThatAnswersBesideAMemberWithoutPowerIsSuspectAsSoonAsItsSilenceIsTooLong() {
    answersAtOnce = true;
    hasMember = true;
    memberAcceptsConnections = false;
    runUntil(175, List.of("n1", "n2", "n3"));
    assertThat(state("n0").isSuspect()).isTrue();
  }

  @Test
  void headThatAnswersLateSinceItsPauseHasJustEndedIsKept() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(100, others);
    nowMillis = 151;
    queries.get("n0").answered(nowNanos());
    runUntil(176, others);
    assertThat(state("n0").isSuspect()).isFalse();
  }

  @Test
  void headWhoseFirstAnswerComesAsItsPauseEndsGetsThePassOfAStream() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(125, others);
    queries.get("n0").answered(nowNanos());
    runUntil(150, others);
    answersAtOnce = true;
    runUntil(175, others);
    assertThat(state("n0").isSuspect()).isFalse();
    runUntil(200, others);
    assertThat(state("n0").isSuspect()).isTrue();
  }

  @Test
  void headThatAnswersWhileMostOthersAreSilentIsKept() {
    answersAtOnce = true;
    runUntil(175, List.of());
    assertThat(state("n0").isPaused()).isTrue();
    assertThat(state("n0").isSuspect()).isFalse();
  }

  @Test
  void streamsOfAHeadThatAnswersAgainGetTheTimeOfAWholePassForTheirNextEvents() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(1_400, others);
    assertThat(state("n0").isPaused()).isTrue();
    queries.get("n0").answered(nowNanos());
    runUntil(1_425, others);
    assertThat(state("n0").isPaused()).isFalse();
    queries.clear();
    runUntil(1_475, others);
    assertThat(queries).isEmpty();
    assertThat(state("n0").isSuspect()).isFalse();
  }

  @Test
  void headWithoutRequestsIsNotPausedForEver() {
    List<String> others = List.of("n1", "n2", "n3");
    runUntil(300, others);
    assertThat(state("n0").isPaused()).isTrue();
    state("n0").requestEnded(true, false);
    runUntil(325, others);
    assertThat(state("n0").isPaused()).isFalse();
  }
}
