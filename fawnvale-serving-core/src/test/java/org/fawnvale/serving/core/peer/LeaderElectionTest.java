package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who leads among three daemons that tell each other a note every 150 ms. */
class LeaderElectionTest {

  private static final long MILLI = 1_000_000L;

  private final Map<String, LeaderElection> daemons = new LinkedHashMap<>();
  private final Map<String, LeaderEligibility> standings = new LinkedHashMap<>();
  private long now;

  private void start(String... names) {
    for (String name : names) {
      daemons.put(name, new LeaderElection(name, "here"));
      standings.put(name, LeaderEligibility.ELIGIBLE);
    }
  }

  private void run(int millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      daemons.forEach((name, daemon) -> daemon.decide(standings.get(name), now));
      daemons.forEach(this::tell);
    }
  }

  private void tell(String from, LeaderElection daemon) {
    PeerMessage note =
        new PeerMessage(
            from,
            from,
            "here",
            1,
            daemon.term(),
            daemon.leader(),
            daemon.highestClaim(),
            standings.get(from),
            false,
            Map.of(),
            Map.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of());
    daemons.forEach(
        (to, other) -> {
          if (!to.equals(from)) {
            other.receive(note, now);
          }
        });
  }

  /** Lets a daemon decide alone for a while, as do the others among themselves. */
  private LeaderElection cutOff(String name, int millis) {
    LeaderElection alone = daemons.remove(name);
    long end = now + millis * MILLI;
    while (now < end) {
      run(50);
      alone.decide(LeaderEligibility.ELIGIBLE, now);
    }
    return alone;
  }

  private List<String> leading() {
    return daemons.entrySet().stream()
        .filter(entry -> entry.getValue().decide(standings.get(entry.getKey()), now))
        .map(Map.Entry::getKey)
        .toList();
  }

  @Test
  void oneDaemonLeadsAndAllFollowIt() {
    start("a", "b", "c");
    run(1_000);
    assertThat(leading()).containsExactly("a");
    assertThat(daemons.values()).extracting(LeaderElection::leader).containsOnly("a");
  }

  @Test
  void aDeadLeaderIsReplacedWithinASecondUnderAHigherTerm() {
    start("a", "b", "c");
    run(1_000);
    long term = daemons.get("b").term();
    daemons.remove("a");
    run(1_000);
    assertThat(leading()).containsExactly("b");
    assertThat(daemons.get("b").term()).isGreaterThan(term);
  }

  @Test
  void aLeaderThatLosesTheStoreGivesWayToOneThatHasIt() {
    start("a", "b", "c");
    run(1_000);
    standings.put("a", LeaderEligibility.WITHOUT_STORE);
    run(1_000);
    assertThat(leading()).containsExactly("b");
  }

  @Test
  void aLeaderStaysWhenNoDaemonHasTheStore() {
    start("a", "b", "c");
    run(1_000);
    standings.replaceAll((name, standing) -> LeaderEligibility.WITHOUT_STORE);
    run(1_000);
    assertThat(leading()).containsExactly("a");
  }

  @Test
  void aReturnedDaemonDoesNotTakeTheLeadBack() {
    start("a", "b", "c");
    run(1_000);
    daemons.remove("a");
    run(1_000);
    daemons.put("a", new LeaderElection("a", "here"));
    run(1_000);
    assertThat(leading()).containsExactly("b");
  }

  @Test
  void aDaemonThatHearsFewOthersRaisesNoTermAndGoesQuietWhenRefused() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection cutOff = daemons.remove("a");
    daemons.remove("b");
    LeaderElection other = daemons.get("c");
    long term = other.term();
    run(1_500);
    assertThat(other.decide(LeaderEligibility.ELIGIBLE, now)).isTrue();
    assertThat(other.term()).isEqualTo(term);
    other.fenceRejected(now);
    assertThat(other.decide(LeaderEligibility.ELIGIBLE, now)).isFalse();
    assertThat(other.term()).isEqualTo(term);
    assertThat(cutOff.term()).isEqualTo(term);
  }

  @Test
  void twoDaemonsThatAreCutOffDoNotTakeTheLeadFromEachOther() {
    start("a", "b", "c", "d", "e", "f", "g");
    run(1_000);
    List.of("d", "e", "f", "g").forEach(daemons::remove);
    standings.put("a", LeaderEligibility.WITHOUT_STORE);
    List<String> leaders = new ArrayList<>();
    for (int step = 0; step < 40; step++) {
      now += 50 * MILLI;
      leaders.addAll(leading());
      daemons.forEach(this::tell);
    }
    assertThat(leaders.subList(leaders.indexOf("b"), leaders.size())).containsOnly("b");
  }

  @Test
  void oneDaemonOfADataCentreWatchesTheStoreAndAnotherOneWhenItCannot() {
    start("a", "b", "c");
    run(1_000);
    assertThat(watching()).containsExactly("a");
    standings.put("a", LeaderEligibility.WITHOUT_STORE);
    run(200);
    assertThat(watching()).containsExactly("b");
    daemons.remove("b");
    run(1_000);
    assertThat(watching()).containsExactly("c");
  }

  @Test
  void survivorsOfManyDeathsFollowTheFirstClaimWithoutASecondOne() {
    start("a", "b", "c", "d", "e", "f", "g");
    run(1_000);
    List.of("a", "b", "c", "d").forEach(daemons::remove);
    Set<String> claimed = new HashSet<>();
    for (int step = 0; step < 30; step++) {
      now += 50 * MILLI;
      claimed.addAll(leading());
      daemons.forEach(this::tell);
    }
    assertThat(claimed).containsExactly("e");
    assertThat(daemons.values()).extracting(LeaderElection::leader).containsOnly("e");
  }

  @Test
  void twoLeadersOfOneTermHaveDifferentFences() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection cutOff = cutOff("c", 2_000);
    assertThat(cutOff.leader()).isEqualTo("c");
    assertThat(cutOff.term()).isEqualTo(daemons.get("a").term());
    assertThat(cutOff.fence()).isNotEqualTo(daemons.get("a").fence());
  }

  @Test
  void theLeaderAfterACutHasAFenceAboveThatOfEitherSide() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection cutOff = cutOff("c", 2_000);
    long ofCutOff = cutOff.fence();
    daemons.put("c", cutOff);
    run(500);
    assertThat(leading()).containsExactly("a");
    assertThat(daemons.get("a").fence()).isGreaterThan(ofCutOff);
  }

  @Test
  void fewSurvivorsHaveAFenceAboveThatOfTheDeadLeader() {
    start("a", "b", "c", "d", "e", "f", "g");
    run(1_000);
    long ofDeadLeader = daemons.get("a").fence();
    List.of("a", "b", "c", "d").forEach(daemons::remove);
    run(1_500);
    assertThat(leading()).containsExactly("e");
    assertThat(daemons.get("e").fence()).isGreaterThan(ofDeadLeader);
  }

  @Test
  void aDaemonThatWasRefusedLeadsAgainUnderAHigherFence() {
    start("a", "b", "c");
    run(1_000);
    daemons.remove("a");
    daemons.remove("b");
    run(1_500);
    LeaderElection alone = daemons.get("c");
    long refused = alone.fence();
    alone.fenceRejected(now);
    run(5_000);
    assertThat(alone.decide(LeaderEligibility.ELIGIBLE, now)).isTrue();
    assertThat(alone.fence()).isGreaterThan(refused);
  }

  private List<String> watching() {
    return daemons.entrySet().stream()
        .filter(entry -> entry.getValue().rankInDataCentre(standings.get(entry.getKey()), now) == 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * A daemon that starts again takes the number of its start from its time of day. Where that
   * stands back, nobody heard it any more: not of its requests, its suspicions, nor its claim.
   */
  @Test
  void aDaemonThatStartsAgainWhileItsTimeOfDayStandsBackIsHeard() {
    LeaderElection here = new LeaderElection("b", "here");
    here.receive(note("a", 5_000), now);
    now += 600 * MILLI;
    here.receive(note("a", 2_600), now);
    assertThat(here.live(now).get("a").incarnation()).isEqualTo(2_600);
  }

  @Test
  void aNoteOfAFormerLifeThatArrivesLateIsNotHeard() {
    LeaderElection here = new LeaderElection("b", "here");
    here.receive(note("a", 2_600), now);
    here.receive(note("a", 5_000), now);
    now += 100 * MILLI;
    here.receive(note("a", 2_600), now);
    assertThat(here.live(now).get("a").incarnation()).isEqualTo(5_000);
  }

  /**
   * A machine is suspended while it leads. Its steady clock has not moved, so it believes that it
   * leads; the first note that it hears tells of the later term.
   */
  @Test
  void aLeaderThatWasSuspendedStepsBackWithTheFirstNoteThatItHears() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection suspended = daemons.remove("a");
    long itsClock = now;
    run(3_000);
    itsClock += 50 * MILLI;
    assertThat(suspended.decide(LeaderEligibility.ELIGIBLE, itsClock)).isTrue();
    daemons.put("a", suspended);
    tell("b", daemons.get("b"));
    assertThat(suspended.decide(LeaderEligibility.ELIGIBLE, itsClock)).isFalse();
    assertThat(suspended.leader()).isEqualTo("b");
  }

  private static PeerMessage note(String from, long incarnation) {
    DataCentreDigest.Member member =
        new DataCentreDigest.Member(from, from, incarnation, LeaderEligibility.ELIGIBLE);
    return PeerMessage.ofMember(member, "here");
  }
}
