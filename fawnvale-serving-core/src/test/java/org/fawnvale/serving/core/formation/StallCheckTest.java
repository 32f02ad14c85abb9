package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Which groups are dissolved as stalled by what their members answer. */
class StallCheckTest {

  private static final long MILLI = 1_000_000L;
  private static final ReportOutcome NORMAL = received(1, 1);
  private static final ReportOutcome SLOW = received(1, 5);
  private static final ReportOutcome SILENT = ReportOutcome.Missing.SILENT;
  private static final ReportOutcome REFUSED = ReportOutcome.Missing.REFUSED;
  private static final ReportOutcome UNREACHABLE = ReportOutcome.Missing.UNREACHABLE;
  private static final ReportOutcome BROKEN = ReportOutcome.Missing.BROKEN;

  private final List<String> log = new ArrayList<>();
  private final StallCheck check = new StallCheck(log::add);
  private final Map<GroupKey, List<Node>> groups = new LinkedHashMap<>();
  private final Set<String> used = new HashSet<>();

  StallCheckTest() {
    for (int group = 0; group < 4; group++) {
      GroupKey key = GroupKey.of("g" + group, "h" + group, 1);
      groups.put(key, List.of(node("h" + group, key, 0), node("m" + group, key, 1)));
      used.add("h" + group);
    }
    check.stalled(SuspectedHeads.NONE, groups, -1_000 * MILLI);
  }

  private static Node node(String id, GroupKey key, int rank) {
    return new Node(
        new NodeIncarnation(id, 1),
        "engines",
        new Endpoint("127.0.0.1", 1),
        "a",
        1,
        false,
        "domain",
        "large",
        List.of(),
        new Membership(key.name(), key.epoch(), rank, MemberState.OPEN));
  }

  private static ReportOutcome received(long startedMillis, double pace) {
    return new ReportOutcome.Received(
        new NodeReport("large", List.of(), null, 0, startedMillis, pace));
  }

  private Node member(String id) {
    return groups.values().stream()
        .flatMap(List::stream)
        .filter(node -> node.id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private void answer(long millis, String id, ReportOutcome outcome) {
    check.record(member(id), outcome, millis * MILLI);
  }

  private void suspect(long millis, String... heads) {
    Set<String> suspected = new HashSet<>();
    for (String head : heads) {
      suspected.add(head + "@1");
    }
    check.stalled(new SuspectedHeads(Set.of(), suspected, used), groups, millis * MILLI);
  }

  /** Returns what is dissolved while one daemon alone suspects a head. */
  private Set<String> dissolvedBySuspicionOf(long millis, String head) {
    Set<String> suspected = Set.of(head + "@1");
    return check.stalled(new SuspectedHeads(Set.of(), suspected, used), groups, millis * MILLI);
  }

  private Set<String> confirm(long millis, String... heads) {
    Set<String> confirmed = new HashSet<>();
    for (String head : heads) {
      confirmed.add(head + "@1");
    }
    return check.stalled(new SuspectedHeads(confirmed, confirmed, used), groups, millis * MILLI);
  }

  private List<String> asked(Set<String> excluded) {
    OrderSink sink = new OrderSink(new OrderTracker(), 1);
    check.request(node -> !excluded.contains(node.id()), sink);
    return sink.orders().stream().map(order -> order.node().id()).toList();
  }

  @Test
  void membersAreAskedOnceAnyDaemonSuspectsTheHeadAndAgainAfter250Millis() {
    suspect(0, "h0");
    assertThat(asked(Set.of())).containsExactly("h0", "m0");
    suspect(225, "h0");
    assertThat(asked(Set.of())).isEmpty();
    suspect(250, "h0");
    assertThat(asked(Set.of("m0"))).containsExactly("h0");
  }

  @Test
  void aMemberThatCanNotBeAskedNowIsAskedOnceItCan() {
    suspect(0, "h0");
    assertThat(asked(Set.of("h0"))).containsExactly("m0");
    suspect(25, "h0");
    assertThat(asked(Set.of())).containsExactly("h0");
  }

  @Test
  void nobodyIsAskedAfterTheSuspicionHasEnded() {
    suspect(0, "h0");
    suspect(25);
    assertThat(asked(Set.of())).isEmpty();
    assertThat(check.askedNodes()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = ReportOutcome.Missing.class,
      names = {"REFUSED", "UNREACHABLE"})
  void aMemberWithoutAConnectionIsProofAtOnce(ReportOutcome.Missing disconnected) {
    suspect(0, "h0");
    answer(1, "m0", disconnected);
    assertThat(confirm(2, "h0")).containsExactly("h0@1");
  }

  /** A process that pauses accepts connections only until the queue of its socket is full. */
  @Test
  void aSilentMemberIsKeptThoughNoFurtherConnectionOpens() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(200, "h0", SILENT);
    answer(400, "h0", UNREACHABLE);
    assertThat(confirm(400, "h0")).isEmpty();
    answer(3_000, "h0", UNREACHABLE);
    assertThat(confirm(3_199, "h0")).isEmpty();
    assertThat(confirm(3_200, "h0")).containsExactly("h0@1");
  }

  @Test
  void aMemberWithoutAConnectionIsProofWhileOthersAreSilent() {
    suspect(0, "h0");
    answer(1, "m0", REFUSED);
    answer(200, "h0", SILENT);
    assertThat(confirm(200, "h0")).containsExactly("h0@1");
  }

  @Test
  void anotherIncarnationIsProofOfTheEndOfTheOneThatWasAsked() {
    suspect(0, "h0");
    answer(1, "m0", received(2, 1));
    assertThat(confirm(2, "h0")).containsExactly("h0@1");
  }

  @Test
  void aConnectionThatBreaksIsProof() {
    suspect(0, "h0");
    answer(1, "m0", ReportOutcome.Missing.BROKEN);
    assertThat(confirm(2, "h0")).containsExactly("h0@1");
  }

  @Test
  void aConnectionThatBreaksAfterASilenceIsNoProof() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(200, "h0", SILENT);
    answer(400, "h0", ReportOutcome.Missing.BROKEN);
    assertThat(confirm(400, "h0")).isEmpty();
    answer(650, "h0", REFUSED);
    assertThat(confirm(650, "h0")).containsExactly("h0@1");
  }

  @ParameterizedTest
  @EnumSource(
      value = ReportOutcome.Missing.class,
      names = {"UNREADABLE"})
  void anAnswerThatIsNoReportShowsThatTheNodeWorks(ReportOutcome.Missing unreadable) {
    suspect(0, "h0");
    answer(1, "m0", unreadable);
    assertThat(confirm(2, "h0")).isEmpty();
    answer(3, "h0", NORMAL);
    assertThat(confirm(3, "h0")).containsExactly("h0@1");
  }

  @Test
  void aHeadThatStandsStillWhileAllMembersAnswerIsStalledAtOnce() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(1, "h0", NORMAL);
    assertThat(confirm(2, "h0")).containsExactly("h0@1");
  }

  @Test
  void answersFromBeforeTheSuspicionDoNotCount() {
    answer(0, "m0", NORMAL);
    answer(0, "h0", NORMAL);
    assertThat(confirm(1, "h0")).isEmpty();
  }

  @Test
  void aSilentMemberHoldsItsGroupBackForThreeSeconds() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(200, "h0", SILENT);
    assertThat(confirm(200, "h0")).isEmpty();
    for (int millis = 450; millis < 3_200; millis += 250) {
      answer(millis, "h0", SILENT);
      answer(millis, "m0", NORMAL);
      assertThat(confirm(millis, "h0")).isEmpty();
    }
    assertThat(confirm(3_200, "h0")).containsExactly("h0@1");
  }

  @Test
  void aGroupHasTimeToGoOnAfterASilence() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(200, "h0", SILENT);
    answer(1_000, "h0", NORMAL);
    assertThat(confirm(1_000, "h0")).isEmpty();
    answer(1_250, "m0", NORMAL);
    answer(1_250, "h0", NORMAL);
    assertThat(confirm(1_599, "h0")).isEmpty();
    answer(1_600, "m0", NORMAL);
    answer(1_600, "h0", NORMAL);
    assertThat(confirm(1_600, "h0")).containsExactly("h0@1");
  }

  @Test
  void aSecondSilenceRightAfterTheFirstHoldsTheGroupBackToo() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(200, "h0", SILENT);
    answer(1_000, "h0", NORMAL);
    answer(1_000, "m0", NORMAL);
    assertThat(confirm(1_600, "h0")).isEmpty();
    asked(Set.of());
    answer(1_601, "m0", NORMAL);
    assertThat(confirm(1_700, "h0")).isEmpty();
    answer(1_800, "h0", SILENT);
    assertThat(confirm(1_800, "h0")).isEmpty();
    assertThat(confirm(3_100, "h0")).isEmpty();
    assertThat(confirm(3_200, "h0")).containsExactly("h0@1");
  }

  @Test
  void aLateAnswerEndsASilence() {
    suspect(0, "h0");
    asked(Set.of());
    answer(1, "m0", NORMAL);
    answer(190, "h0", NORMAL);
    assertThat(confirm(200, "h0")).isEmpty();
    answer(800, "h0", NORMAL);
    answer(800, "m0", NORMAL);
    assertThat(confirm(800, "h0")).containsExactly("h0@1");
  }

  @Test
  void answersAreAwaitedFor400Millis() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    assertThat(confirm(399, "h0")).isEmpty();
  }

  @Test
  void aMemberThatMayNotBeAskedCountsAsSilent() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    assertThat(confirm(400, "h0")).isEmpty();
    assertThat(log).hasSize(1);
    assertThat(log.get(0)).contains("outcome=held_back silent=[h0]");
    assertThat(confirm(2_999, "h0")).isEmpty();
    assertThat(confirm(3_000, "h0")).containsExactly("h0@1");
  }

  @Test
  void aSlowMemberHoldsItsGroupBackForTwoSeconds() {
    suspect(0, "h0");
    answer(1, "m0", SLOW);
    answer(1, "h0", NORMAL);
    assertThat(confirm(2, "h0")).isEmpty();
    assertThat(confirm(1_999, "h0")).isEmpty();
    assertThat(confirm(2_000, "h0")).containsExactly("h0@1");
  }

  @Test
  void onlyAMissingConnectionIsProofWhileMostGroupsAreSuspected() {
    String[] most = {"h0", "h1", "h2"};
    suspect(0, most);
    answer(1, "h2", REFUSED);
    for (String id : List.of("h0", "m0", "h1", "m1", "m2")) {
      answer(1, id, NORMAL);
    }
    assertThat(confirm(2, most)).containsExactly("h2@1");
    for (int millis = 100; millis < 3_000; millis += 100) {
      assertThat(confirm(millis, most)).containsExactly("h2@1");
    }
    assertThat(confirm(3_000, most)).containsExactlyInAnyOrder("h0@1", "h1@1", "h2@1");
  }

  @Test
  void aGroupThatStandsStillLongerThanTheOthersIsStalledSoonAfterThem() {
    suspect(0, "h0", "h1", "h2", "h3");
    for (String id : List.of("h0", "m0", "h1", "m1", "h2", "m2", "h3", "m3")) {
      answer(1, id, NORMAL);
    }
    assertThat(confirm(1_000, "h0", "h1", "h2", "h3")).isEmpty();
    assertThat(confirm(1_100, "h0")).isEmpty();
    assertThat(confirm(1_599, "h0")).isEmpty();
    assertThat(confirm(1_600, "h0")).containsExactly("h0@1");
  }

  @Test
  void twoThirdsOfTheGroupsShareNoSilence() {
    used.clear();
    used.addAll(List.of("h0", "h1", "h2"));
    suspect(0, "h0", "h1");
    for (String id : List.of("h0", "m0", "h1", "m1")) {
      answer(1, id, NORMAL);
    }
    assertThat(confirm(2, "h0", "h1")).containsExactlyInAnyOrder("h0@1", "h1@1");
  }

  @Test
  void theOnlyGroupInUseSharesItsSilenceWithNoOther() {
    used.clear();
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(1, "h0", NORMAL);
    assertThat(confirm(2, "h0")).containsExactly("h0@1");
  }

  @Test
  void aSuspicionThatEndedStartsOver() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(1, "h0", NORMAL);
    suspect(301);
    assertThat(confirm(302, "h0")).isEmpty();
  }

  @Test
  void aSuspicionThatIsGoneBrieflyGoesOn() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(1, "h0", NORMAL);
    suspect(299);
    assertThat(confirm(300, "h0")).containsExactly("h0@1");
  }

  @Test
  void theLogTellsOnceThatAGroupIsHeldBackAndOnceHowThatEnds() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(200, "h0", SILENT);
    confirm(250, "h0");
    confirm(300, "h0");
    assertThat(check.heldBack()).isEqualTo(1);
    answer(390, "h0", NORMAL);
    suspect(400);
    suspect(650);
    suspect(700);
    assertThat(check.heldBack()).isZero();
    assertThat(log)
        .containsExactly(
            "group=g0~h0 epoch=1 outcome=held_back silent=[h0]",
            "group=g0~h0 epoch=1 outcome=goes_on held_back_ms=400");
  }

  @Test
  void aHeadWithoutAListedGroupIsStalledOnceConfirmed() {
    groups.clear();
    assertThat(confirm(0, "h9")).containsExactly("h9@1");
  }

  @Test
  void aNewLeaderWaitsForWhatAnEarlierSilenceLeft() {
    StallCheck fresh = new StallCheck(log::add);
    Set<String> head = Set.of("h0@1");
    SuspectedHeads suspects = new SuspectedHeads(head, head, used);
    assertThat(fresh.stalled(suspects, groups, 0)).isEmpty();
    fresh.record(member("h0"), NORMAL, 1 * MILLI);
    fresh.record(member("m0"), NORMAL, 1 * MILLI);
    assertThat(fresh.stalled(suspects, groups, 599 * MILLI)).isEmpty();
    assertThat(fresh.stalled(suspects, groups, 600 * MILLI)).isEqualTo(head);
  }

  @Test
  void aMemberThatStaysSilentIsProofThoughTheDaemonsSuspicionsExpire() {
    suspect(0, "h0");
    asked(Set.of());
    answer(1, "h0", NORMAL);
    answer(200, "m0", SILENT);
    assertThat(confirm(200, "h0")).isEmpty();
    for (int millis = 450; millis < 3_200; millis += 250) {
      assertThat(confirm(millis)).isEmpty();
      assertThat(asked(Set.of())).contains("m0");
      answer(millis, "m0", SILENT);
    }
    assertThat(confirm(3_200)).containsExactly("h0@1");
  }

  @Test
  void aSilenceDuringASuspicionThatWasNeverConfirmedIsNoProof() {
    suspect(0, "h0");
    answer(1, "h0", NORMAL);
    for (int millis = 200; millis < 4_000; millis += 250) {
      answer(millis, "m0", SILENT);
      assertThat(confirm(millis)).isEmpty();
    }
  }

  @Test
  void aMemberThatAnswersAgainIsNotAskedOnceTheSuspicionHasExpired() {
    suspect(0, "h0");
    answer(1, "h0", NORMAL);
    answer(200, "m0", SILENT);
    confirm(200, "h0");
    confirm(1_000);
    answer(1_001, "m0", NORMAL);
    confirm(1_025);
    assertThat(asked(Set.of())).isEmpty();
    assertThat(check.heldBack()).isZero();
  }

  @Test
  void aMemberThatOpensNoConnectionFourTimesProvesTheSuspicionOfOneDaemon() {
    for (long millis = 0; millis <= 750; millis += 250) {
      suspect(millis, "h0");
      assertThat(dissolvedBySuspicionOf(millis, "h0")).isEmpty();
      answer(millis + 3, "h0", NORMAL);
      answer(millis + 75, "m0", UNREACHABLE);
    }
    assertThat(dissolvedBySuspicionOf(825, "h0")).containsExactly("h0@1");
  }

  @Test
  void aMemberThatRefusesConnectionsTwiceProvesTheSuspicionOfOneDaemon() {
    suspect(0, "h0");
    answer(1, "h0", NORMAL);
    answer(1, "m0", ReportOutcome.Missing.REFUSED);
    assertThat(dissolvedBySuspicionOf(25, "h0")).isEmpty();
    suspect(250, "h0");
    answer(251, "h0", NORMAL);
    answer(251, "m0", ReportOutcome.Missing.REFUSED);
    assertThat(dissolvedBySuspicionOf(275, "h0")).containsExactly("h0@1");
  }

  /** A head with all its connections in use, or with a long queue, resets further ones. */
  @Test
  void aMemberThatBreaksConnectionsDoesNotProveTheSuspicionOfOneDaemon() {
    suspect(0, "h0");
    answer(1, "m0", NORMAL);
    answer(2, "h0", BROKEN);
    for (long millis = 250; millis <= 1_250; millis += 250) {
      suspect(millis, "h0");
      answer(millis + 1, "m0", NORMAL);
      answer(millis + 2, "h0", BROKEN);
      assertThat(dissolvedBySuspicionOf(millis + 25, "h0")).isEmpty();
    }
  }

  /** The first answers after a cut of the leader do not come at the same moment. */
  @Test
  void aGroupThatOneDaemonSuspectsIsKeptWhenACutOfTheLeaderEnds() {
    for (long millis = 0; millis <= 1_000; millis += 250) {
      suspect(millis, "h0");
      asked(Set.of());
      answer(millis + 75, "h0", UNREACHABLE);
      answer(millis + 75, "m0", UNREACHABLE);
    }
    suspect(1_250, "h0");
    assertThat(asked(Set.of())).containsExactly("h0", "m0");
    answer(1_253, "m0", NORMAL);
    assertThat(dissolvedBySuspicionOf(1_255, "h0")).isEmpty();
    answer(1_256, "h0", NORMAL);
    assertThat(dissolvedBySuspicionOf(1_275, "h0")).isEmpty();
  }

  /** A member that may not be asked now tells nothing about a cut that began meanwhile. */
  @Test
  void aGroupThatOneDaemonSuspectsIsKeptWhenTheOtherMemberWasConnectedBeforeTheLossAlone() {
    suspect(0, "h0");
    asked(Set.of());
    answer(2, "h0", NORMAL);
    answer(3, "m0", NORMAL);
    for (long millis = 250; millis <= 1_500; millis += 250) {
      suspect(millis, "h0");
      assertThat(asked(Set.of("m0"))).containsExactly("h0");
      answer(millis + 75, "h0", UNREACHABLE);
      assertThat(dissolvedBySuspicionOf(millis + 75, "h0")).isEmpty();
    }
  }
}
