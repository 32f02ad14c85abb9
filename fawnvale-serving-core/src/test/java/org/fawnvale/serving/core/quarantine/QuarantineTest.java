package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

class QuarantineTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Fingerprint REQUEST = new Fingerprint(1);

  private final Quarantine quarantine = new Quarantine();

  private static NodeIncarnation incarnation(int number) {
    return NodeIncarnation.only("n" + number);
  }

  @Test
  void thirdFailureQuarantinesRequest() {
    assertThat(quarantine.recordFailure(REQUEST, incarnation(1), 0)).isEqualTo(1);
    assertThat(quarantine.recordFailure(REQUEST, incarnation(2), 0)).isEqualTo(2);
    assertThat(quarantine.isQuarantined(REQUEST, 0)).isFalse();
    assertThat(quarantine.recordFailure(REQUEST, incarnation(3), 0)).isEqualTo(3);
    assertThat(quarantine.isQuarantined(REQUEST, 0)).isTrue();
  }

  @Test
  void failureSeenByManyDaemonsCountsOnce() {
    for (int daemon = 0; daemon < 9; daemon++) {
      QuarantineRecord received = new QuarantineRecord(REQUEST, Set.of(incarnation(1)), Set.of());
      assertThat(quarantine.mergeFromPeer(List.of(received), 0)).isEmpty();
    }
    assertThat(quarantine.isQuarantined(REQUEST, 0)).isFalse();
  }

  @Test
  void failuresOfSeveralIncarnationsOfOneNodeAreCounted() {
    for (long started = 1; started <= 3; started++) {
      quarantine.recordFailure(REQUEST, new NodeIncarnation("n1", started), 0);
    }
    assertThat(quarantine.isQuarantined(REQUEST, 0)).isTrue();
  }

  @Test
  void failuresSeenByDifferentDaemonsAreAdded() {
    quarantine.recordFailure(REQUEST, incarnation(1), 0);
    QuarantineRecord second = new QuarantineRecord(REQUEST, Set.of(incarnation(2)), Set.of());
    QuarantineRecord third = new QuarantineRecord(REQUEST, Set.of(incarnation(3)), Set.of());
    assertThat(quarantine.mergeFromPeer(List.of(second, third), 0)).containsExactly(REQUEST);
    assertThat(quarantine.mergeFromPeer(List.of(second, third), 0)).isEmpty();
  }

  @Test
  void responseClearsRequest() {
    quarantine.recordFailure(REQUEST, incarnation(1), 0);
    quarantine.recordFailure(REQUEST, incarnation(2), 0);
    quarantine.recordResponse(REQUEST, 0);
    assertThat(quarantine.recordFailure(REQUEST, incarnation(3), 0)).isEqualTo(1);
  }

  @Test
  void daemonsConvergeInAnyOrderOfRecords() {
    List<QuarantineRecord> received = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      received.add(
          new QuarantineRecord(
              REQUEST, Set.of(incarnation(number)), Set.of(incarnation(number / 2))));
    }
    Random random = new Random(20261203);
    for (int run = 0; run < 100; run++) {
      Quarantine other = new Quarantine();
      Collections.shuffle(received, random);
      other.mergeFromPeer(received, 0);
      other.mergeFromPeer(received.subList(0, 3), 0);
      assertThat(other.recordsToSend(true, 0))
          .extracting(QuarantineRecord::failureCount)
          .containsExactly(3);
      assertThat(other.isQuarantined(REQUEST, 0)).isTrue();
    }
  }

  @Test
  void startedDaemonReceivesQuarantinedRequest() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(REQUEST, incarnation(number), 0);
    }
    Quarantine started = new Quarantine();
    List<Fingerprint> newlyQuarantined =
        started.mergeFromPeer(quarantine.recordsToSend(false, 600 * SECOND), 600 * SECOND);
    assertThat(newlyQuarantined).containsExactly(REQUEST);
  }

  @Test
  void onlyRecentRecordsAndThoseWithManyFailuresAreSent() {
    quarantine.recordFailure(REQUEST, incarnation(1), 0);
    assertThat(quarantine.takeUrgent()).isTrue();
    assertThat(quarantine.takeUrgent()).isFalse();
    assertThat(quarantine.recordsToSend(false, SECOND)).hasSize(1);
    assertThat(quarantine.recordsToSend(false, 5 * SECOND)).isEmpty();
  }

  @Test
  void quarantinedRequestIsKeptWhenRecordsAreEvicted() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(REQUEST, incarnation(number), 0);
    }
    for (int other = 2; other < 20_000; other++) {
      quarantine.recordFailure(new Fingerprint(other), incarnation(other), SECOND);
    }
    assertThat(quarantine.isQuarantined(REQUEST, SECOND)).isTrue();
    assertThat(quarantine.size()).isLessThan(5_000);
  }

  /**
   * Guards against a harmless request that stays quarantined for ever. Three nodes end because of
   * another request before any of them responds, so no response clears the harmless one.
   */
  @Test
  void requestIsTriedOnceAfterTrialDelay() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(REQUEST, incarnation(number), 0);
    }
    assertThat(quarantine.isQuarantined(REQUEST, 60 * SECOND)).isFalse();
  }

  /** A wave of ends takes further nodes before the daemons know of the third. */
  @Test
  void requestUnderWhichFourNodesEndAtOnceIsTriedOnceAfterTrialDelay() {
    for (int number = 1; number <= 4; number++) {
      quarantine.recordFailure(REQUEST, incarnation(number), 0);
    }
    assertThat(quarantine.isQuarantined(REQUEST, 60 * SECOND)).isFalse();
  }

  @Test
  void requestUnderWhichFourNodesEndedIsNotTriedByADaemonThatLearnsThemTogether() {
    Set<NodeIncarnation> ended =
        Set.of(incarnation(1), incarnation(2), incarnation(3), incarnation(4));
    quarantine.mergeFromPeer(List.of(new QuarantineRecord(REQUEST, ended, Set.of())), 0);
    assertThat(quarantine.isQuarantined(REQUEST, 600 * SECOND)).isTrue();
  }

  @Test
  void requestWhoseTrialFailedSoonAfterThisDaemonLearnedOfItIsNotTriedAgain() {
    Set<NodeIncarnation> ended = Set.of(incarnation(1), incarnation(2), incarnation(3));
    quarantine.mergeFromPeer(List.of(new QuarantineRecord(REQUEST, ended, Set.of())), 0);
    QuarantineRecord failed = new QuarantineRecord(REQUEST, Set.of(incarnation(4)), Set.of());
    quarantine.mergeFromPeer(List.of(failed), 10 * SECOND);
    assertThat(quarantine.isQuarantined(REQUEST, 600 * SECOND)).isTrue();
  }

  @Test
  void requestWhoseTrialFailedIsNotTriedAgainThoughFourNodesHadEndedAtOnce() {
    for (int number = 1; number <= 4; number++) {
      quarantine.recordFailure(REQUEST, incarnation(number), 0);
    }
    quarantine.recordFailure(REQUEST, incarnation(5), 61 * SECOND);
    assertThat(quarantine.isQuarantined(REQUEST, 600 * SECOND)).isTrue();
  }

  private void quarantineRequest() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(REQUEST, incarnation(number), 0);
    }
  }

  @Test
  void requestIsNotTriedBeforeDelayNorTwice() {
    quarantineRequest();
    assertThat(quarantine.isQuarantined(REQUEST, 59 * SECOND)).isTrue();
    quarantine.recordSent(REQUEST);
    assertThat(quarantine.isQuarantined(REQUEST, 60 * SECOND)).isTrue();
  }

  @Test
  void trialStaysDueUntilSent() {
    quarantineRequest();
    assertThat(quarantine.isQuarantined(REQUEST, 60 * SECOND)).isFalse();
    assertThat(quarantine.isQuarantined(REQUEST, 61 * SECOND)).isFalse();
    quarantine.recordSent(REQUEST);
    assertThat(quarantine.isQuarantined(REQUEST, 62 * SECOND)).isTrue();
    assertThat(quarantine.isQuarantined(REQUEST, 900 * SECOND)).isTrue();
  }

  @Test
  void daemonWithoutPermissionStartsNoTrial() {
    quarantineRequest();
    quarantine.allowTrials(false);
    assertThat(quarantine.isQuarantined(REQUEST, 60 * SECOND)).isTrue();
  }

  @Test
  void successfulTrialClearsRequestOnAllDaemons() {
    quarantineRequest();
    Quarantine other = new Quarantine();
    other.mergeFromPeer(quarantine.recordsToSend(true, 0), 0);
    other.allowTrials(false);
    assertThat(other.isQuarantined(REQUEST, 61 * SECOND)).isTrue();
    quarantine.recordSent(REQUEST);
    quarantine.recordResponse(REQUEST, 61 * SECOND);
    other.mergeFromPeer(quarantine.recordsToSend(true, 61 * SECOND), 61 * SECOND);
    assertThat(other.isQuarantined(REQUEST, 62 * SECOND)).isFalse();
  }

  @Test
  void failedTrialIsTheLastOnAllDaemons() {
    quarantineRequest();
    quarantine.recordSent(REQUEST);
    quarantine.recordFailure(REQUEST, incarnation(4), 61 * SECOND);
    Quarantine next = new Quarantine();
    next.mergeFromPeer(quarantine.recordsToSend(true, 61 * SECOND), 61 * SECOND);
    assertThat(next.isQuarantined(REQUEST, 1_000 * SECOND)).isTrue();
    assertThat(quarantine.isQuarantined(REQUEST, 1_000 * SECOND)).isTrue();
  }

  /** By the formats some 400 ends under one request made the messages of a daemon unreadable. */
  @Test
  void recordOfARequestThatIsAnsweredAgainAndAgainStaysShort() {
    Quarantine answered = new Quarantine();
    Fingerprint request = new Fingerprint(0xa5);
    int longest = 0;
    for (int number = 0; number < 1_000; number++) {
      long now = number * 3_000_000_000L;
      answered.recordFailure(request, NodeIncarnation.only("n" + number), now);
      answered.recordResponse(request, now + 1);
      for (long tick : List.of(now + 2, now + 2_500_000_000L)) {
        for (QuarantineRecord sent : answered.recordsToSend(true, tick)) {
          longest = Math.max(longest, sent.failures().size());
        }
      }
    }
    assertThat(longest).isBetween(2, 40);
    assertThat(answered.failureCount(request)).isZero();
  }
}
