package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Daemons that send each other a message every 50 ms of simulated time. */
class LeaderElectionTest {

  private static final long MILLI = 1_000_000L;

  private final Map<String, LeaderElection> daemons = new LinkedHashMap<>();
  private final Map<String, LeaderEligibility> eligibilities = new LinkedHashMap<>();
  private long now;

  private void start(String... names) {
    for (String name : names) {
      daemons.put(name, new LeaderElection(name, "here"));
      eligibilities.put(name, LeaderEligibility.ELIGIBLE);
    }
  }

  private void run(int millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += 50 * MILLI;
      daemons.forEach((name, daemon) -> daemon.decide(eligibilities.get(name), now));
      daemons.forEach(this::send);
    }
  }

  private void send(String from, LeaderElection daemon) {
    PeerMessage message = PeerMessages.of(from, "here", daemon, eligibilities.get(from), false);
    daemons.forEach(
        (to, other) -> {
          if (!to.equals(from)) {
            other.receive(message, now);
          }
        });
  }

  /** Removes a daemon from the others and lets both sides run separately. */
  private LeaderElection isolated(String name, int millis) {
    LeaderElection isolated = daemons.remove(name);
    long end = now + millis * MILLI;
    while (now < end) {
      run(50);
      isolated.decide(LeaderEligibility.ELIGIBLE, now);
    }
    return isolated;
  }

  private List<String> leaders() {
    return daemons.entrySet().stream()
        .filter(entry -> entry.getValue().decide(eligibilities.get(entry.getKey()), now))
        .map(Map.Entry::getKey)
        .toList();
  }

  @Test
  void oneDaemonLeadsAndAllFollow() {
    start("a", "b", "c");
    run(1_000);
    assertThat(leaders()).containsExactly("a");
    assertThat(daemons.values()).extracting(LeaderElection::leader).containsOnly("a");
  }

  @Test
  void failedLeaderIsReplacedWithinASecondInHigherTerm() {
    start("a", "b", "c");
    run(1_000);
    long term = daemons.get("b").term();
    daemons.remove("a");
    run(1_000);
    assertThat(leaders()).containsExactly("b");
    assertThat(daemons.get("b").term()).isGreaterThan(term);
  }

  @Test
  void leaderWithoutStoreIsReplacedByOneWithStore() {
    start("a", "b", "c");
    run(1_000);
    eligibilities.put("a", LeaderEligibility.WITHOUT_STORE);
    run(1_000);
    assertThat(leaders()).containsExactly("b");
  }

  @Test
  void leaderThatReachesNoUpstreamGivesWayToOneWithoutStore() {
    start("a", "b", "c");
    run(1_000);
    eligibilities.replaceAll((name, eligibility) -> LeaderEligibility.WITHOUT_STORE);
    eligibilities.put("a", LeaderEligibility.WITHOUT_UPSTREAMS);
    run(1_000);
    assertThat(leaders()).containsExactly("b");
  }

  @Test
  void leaderStaysWhenNoDaemonReachesStore() {
    start("a", "b", "c");
    run(1_000);
    eligibilities.replaceAll((name, eligibility) -> LeaderEligibility.WITHOUT_STORE);
    run(1_000);
    assertThat(leaders()).containsExactly("a");
  }

  @Test
  void returningLeaderDoesNotResumeLeadership() {
    start("a", "b", "c");
    run(1_000);
    daemons.remove("a");
    run(1_000);
    daemons.put("a", new LeaderElection("a", "here"));
    run(1_000);
    assertThat(leaders()).containsExactly("b");
  }

  @Test
  void minorityDoesNotRaiseTermAndBacksOffWhenRejected() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection isolated = daemons.remove("a");
    daemons.remove("b");
    LeaderElection other = daemons.get("c");
    long term = other.term();
    run(1_500);
    assertThat(other.decide(LeaderEligibility.ELIGIBLE, now)).isTrue();
    assertThat(other.term()).isEqualTo(term);
    other.fenceRejected(now);
    assertThat(other.decide(LeaderEligibility.ELIGIBLE, now)).isFalse();
    assertThat(other.term()).isEqualTo(term);
    assertThat(isolated.term()).isEqualTo(term);
  }

  @Test
  void leadershipIsStableWithinMinority() {
    start("a", "b", "c", "d", "e", "f", "g");
    run(1_000);
    List.of("d", "e", "f", "g").forEach(daemons::remove);
    eligibilities.put("a", LeaderEligibility.WITHOUT_STORE);
    List<String> leaders = new ArrayList<>();
    for (int step = 0; step < 40; step++) {
      now += 50 * MILLI;
      leaders.addAll(leaders());
      daemons.forEach(this::send);
    }
    assertThat(leaders.subList(leaders.indexOf("b"), leaders.size())).containsOnly("b");
  }

  @Test
  void firstDaemonOfDataCentreThatReachesStoreWatchesIt() {
    start("a", "b", "c");
    run(1_000);
    assertThat(watchers()).containsExactly("a");
    eligibilities.put("a", LeaderEligibility.WITHOUT_STORE);
    run(200);
    assertThat(watchers()).containsExactly("b");
    daemons.remove("b");
    run(1_000);
    assertThat(watchers()).containsExactly("c");
  }

  @Test
  void minorityFollowsFirstClaimWithoutSecond() {
    start("a", "b", "c", "d", "e", "f", "g");
    run(1_000);
    List.of("a", "b", "c", "d").forEach(daemons::remove);
    Set<String> claimants = new HashSet<>();
    for (int step = 0; step < 30; step++) {
      now += 50 * MILLI;
      claimants.addAll(leaders());
      daemons.forEach(this::send);
    }
    assertThat(claimants).containsExactly("e");
    assertThat(daemons.values()).extracting(LeaderElection::leader).containsOnly("e");
  }

  @Test
  void leadersOfSameTermHaveDifferentFences() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection isolated = isolated("c", 2_000);
    assertThat(isolated.leader()).isEqualTo("c");
    assertThat(isolated.term()).isEqualTo(daemons.get("a").term());
    assertThat(isolated.fence()).isNotEqualTo(daemons.get("a").fence());
  }

  @Test
  void fenceAfterPartitionExceedsThatOfEitherSide() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection isolated = isolated("c", 2_000);
    long isolatedFence = isolated.fence();
    daemons.put("c", isolated);
    run(500);
    assertThat(leaders()).containsExactly("a");
    assertThat(daemons.get("a").fence()).isGreaterThan(isolatedFence);
  }

  @Test
  void fenceOfMinorityExceedsThatOfFailedLeader() {
    start("a", "b", "c", "d", "e", "f", "g");
    run(1_000);
    long failedLeaderFence = daemons.get("a").fence();
    List.of("a", "b", "c", "d").forEach(daemons::remove);
    run(1_500);
    assertThat(leaders()).containsExactly("e");
    assertThat(daemons.get("e").fence()).isGreaterThan(failedLeaderFence);
  }

  @Test
  void rejectedLeaderLeadsAgainWithHigherFence() {
    start("a", "b", "c");
    run(1_000);
    daemons.remove("a");
    daemons.remove("b");
    run(1_500);
    LeaderElection isolated = daemons.get("c");
    long rejectedFence = isolated.fence();
    isolated.fenceRejected(now);
    run(5_000);
    assertThat(isolated.decide(LeaderEligibility.ELIGIBLE, now)).isTrue();
    assertThat(isolated.fence()).isGreaterThan(rejectedFence);
  }

  private List<String> watchers() {
    return daemons.entrySet().stream()
        .filter(
            entry -> entry.getValue().rankInDataCentre(eligibilities.get(entry.getKey()), now) == 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * The incarnation number is the wall-clock time of the start. Without a timeout, all messages of
   * a daemon whose clock was set back would be ignored.
   */
  @Test
  void restartedDaemonIsReceivedAfterClockWasSetBack() {
    LeaderElection election = new LeaderElection("b", "here");
    election.receive(message("a", 5_000), now);
    now += 600 * MILLI;
    election.receive(message("a", 2_600), now);
    assertThat(election.live(now).get("a").incarnation()).isEqualTo(2_600);
  }

  @Test
  void delayedMessageOfPreviousIncarnationIsIgnored() {
    LeaderElection election = new LeaderElection("b", "here");
    election.receive(message("a", 2_600), now);
    election.receive(message("a", 5_000), now);
    now += 100 * MILLI;
    election.receive(message("a", 2_600), now);
    assertThat(election.live(now).get("a").incarnation()).isEqualTo(5_000);
  }

  /**
   * A suspended machine's monotonic clock stands still, so the old leader still believes that it
   * leads.
   */
  @Test
  void suspendedLeaderStepsDownWithFirstMessage() {
    start("a", "b", "c");
    run(1_000);
    LeaderElection suspended = daemons.remove("a");
    long suspendedClock = now;
    run(3_000);
    suspendedClock += 50 * MILLI;
    assertThat(suspended.decide(LeaderEligibility.ELIGIBLE, suspendedClock)).isTrue();
    daemons.put("a", suspended);
    send("b", daemons.get("b"));
    assertThat(suspended.decide(LeaderEligibility.ELIGIBLE, suspendedClock)).isFalse();
    assertThat(suspended.leader()).isEqualTo("b");
  }

  private static PeerMessage message(String from, long incarnation) {
    DataCentreDigest.Member member =
        new DataCentreDigest.Member(from, from, incarnation, LeaderEligibility.ELIGIBLE);
    return PeerMessage.ofMember(member, "here");
  }
}
