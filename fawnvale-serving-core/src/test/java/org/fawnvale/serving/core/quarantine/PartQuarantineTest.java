package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/** Guards against sound parts that are blamed, and faulty ones that are not or that return. */
class PartQuarantineTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Fingerprint FAULTY = new Fingerprint(0xbad);
  private static final Fingerprint COMMON = new Fingerprint(0xc0);

  private final PartQuarantine quarantine = new PartQuarantine();
  private int nodes;

  private static Fingerprint part(long number) {
    return new Fingerprint(1_000 + number);
  }

  private NodeIncarnation nextNode() {
    return NodeIncarnation.only("n" + nodes++);
  }

  private void crash(long nowNanos, Fingerprint... parts) {
    quarantine.recordCrash(List.of(parts), nextNode(), nowNanos);
  }

  private boolean mayRequestTrial(long nowNanos, Fingerprint part, Fingerprint... otherParts) {
    List<Fingerprint> parts = new ArrayList<>(List.of(otherParts));
    parts.add(part);
    return quarantine.mayRequestTrial(parts, nowNanos);
  }

  private boolean isBarred(Fingerprint part) {
    return !quarantine.barredAmong(List.of(part), 0).isEmpty();
  }

  @Test
  void partThatNoAnswerClearsIsBarredAtTheThirdCrash() {
    quarantine.recordAnswer(List.of(COMMON), 0, 0);
    crash(1, COMMON, FAULTY);
    crash(2, COMMON, FAULTY);
    assertThat(quarantine.barredCount()).isZero();
    crash(3, COMMON, FAULTY);
    assertThat(isBarred(FAULTY)).isTrue();
    assertThat(isBarred(COMMON)).isFalse();
  }

  @Test
  void partsThatBeginBesideAFaultyOneAreNotBarred() {
    for (int number = 0; number < 6; number++) {
      NodeIncarnation node = nextNode();
      quarantine.recordCrash(List.of(COMMON, FAULTY), node, number);
      quarantine.recordCrash(List.of(part(number % 2)), node, number);
      if (number != 2) {
        quarantine.recordCrash(List.of(part(2)), number < 5 ? node : nextNode(), number);
      }
      assertThat(isBarred(part(0))).isFalse();
      assertThat(isBarred(part(2))).isFalse();
    }
    assertThat(isBarred(FAULTY)).isTrue();
  }

  @Test
  void partThatCanNotBeToldApartIsFreedByItsNextAnswer() {
    for (int number = 0; number < 3; number++) {
      crash(number, COMMON, FAULTY);
    }
    assertThat(isBarred(COMMON)).isTrue();
    PartQuarantine.Changes changes = quarantine.recordAnswer(List.of(COMMON), SECOND, SECOND);
    assertThat(changes.freed()).containsExactly(COMMON);
    assertThat(isBarred(FAULTY)).isTrue();
  }

  @Test
  void barredPartIsNotFreedByCrashesThatItCanNotCauseWhileItIsBarred() {
    for (int number = 0; number < 3; number++) {
      crash(number, FAULTY, part(0));
    }
    for (int number = 3; number < 9; number++) {
      crash(number, part(0));
    }
    assertThat(isBarred(FAULTY)).isTrue();
    assertThat(mayRequestTrial(2 + 3 * SECOND, FAULTY)).isTrue();
  }

  /** A sound part that was barred first hid a faulty one until its eleventh crash. */
  @Test
  void faultyPartIsBarredThoughABarredSoundOneExplainsItsCrashes() {
    for (int number = 0; number < 3; number++) {
      crash(number, COMMON, part(number));
    }
    for (PartRecord each : quarantine.barredRecords()) {
      each.crashes().forEach(node -> quarantine.recordCrash(List.of(FAULTY), node, 4));
    }
    crash(5, FAULTY);
    assertThat(isBarred(COMMON)).isTrue();
    assertThat(isBarred(FAULTY)).isTrue();
  }

  /** Each node that crashes had begun requests with any of the parts that are not barred yet. */
  @Test
  void faultyPartsThatCrashTheSameNodesAreBarredOnceEachAfterNineCrashesAtMost() {
    for (long seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      PartQuarantine mixed = new PartQuarantine();
      Set<Fingerprint> sent = new HashSet<>(List.of(part(0), part(1), part(2)));
      int[] crashes = new int[3];
      for (int step = 0; step < 60; step++) {
        NodeIncarnation node = nextNode();
        for (int number = 0; number < 3; number++) {
          if (sent.contains(part(number)) && random.nextBoolean()) {
            PartQuarantine.Changes changes = mixed.recordCrash(List.of(part(number)), node, step);
            assertThat(changes.freed()).as("seed %d", seed).isEmpty();
            crashes[number]++;
          }
        }
        sent.removeIf(each -> !mixed.barredAmong(List.of(each), 0).isEmpty());
      }
      assertThat(sent).as("seed %d", seed).isEmpty();
      assertThat(Arrays.stream(crashes).max().orElseThrow())
          .as("seed %d", seed)
          .isLessThanOrEqualTo(9);
    }
  }

  @Test
  void severalFaultyPartsAtATimeAreBarredAndTheirCommonOneIsNot() {
    quarantine.recordAnswer(List.of(COMMON), 0, 0);
    for (int number = 0; number < 9; number++) {
      crash(number, COMMON, part(number % 3));
    }
    assertThat(quarantine.barredCount()).isEqualTo(3);
    assertThat(isBarred(COMMON)).isFalse();
  }

  @Test
  void partThatWasAnsweredForLongIsBarredAtTheFifthCrash() {
    quarantine.recordAnswer(List.of(COMMON), 0, 0);
    for (int number = 0; number < 4; number++) {
      crash(SECOND, COMMON, part(number));
    }
    assertThat(quarantine.barredCount()).isZero();
    crash(SECOND, COMMON, part(4));
    assertThat(isBarred(COMMON)).isTrue();
  }

  @Test
  void answerThatBeganBeforeTheLastCrashClearsNothing() {
    for (int number = 0; number < 3; number++) {
      crash(2 * SECOND, FAULTY);
    }
    quarantine.recordAnswer(List.of(FAULTY), SECOND, 3 * SECOND);
    assertThat(isBarred(FAULTY)).isTrue();
  }

  @Test
  void fleetSendsAFaultyPartAtMostTwiceInTenMinutesOfTrials() {
    for (int number = 0; number < 3; number++) {
      crash(0, FAULTY);
    }
    int trials = 0;
    for (long now = 0; now < 600 * SECOND; now += SECOND / 10) {
      if (quarantine.grantTrial(FAULTY, now)) {
        trials++;
        crash(now + SECOND / 20, FAULTY);
      }
    }
    assertThat(trials).isEqualTo(2);
  }

  @Test
  void soundPartIsTriedThreeSecondsAfterTheLastCrash() {
    for (int number = 0; number < 3; number++) {
      crash(SECOND, COMMON);
    }
    assertThat(mayRequestTrial(3 * SECOND, COMMON)).isFalse();
    assertThat(quarantine.nanosUntilTrial(COMMON, 3 * SECOND)).isEqualTo(SECOND);
    assertThat(quarantine.grantTrial(COMMON, 4 * SECOND)).isTrue();
  }

  @Test
  void trialOfAPartIsLeftToRequestsWithoutAnotherPartThatMayCrashNodes() {
    quarantine.recordAnswer(List.of(part(9)), 0, 0);
    for (int number = 0; number < 3; number++) {
      crash(SECOND, COMMON, part(number));
    }
    Fingerprint neverSeen = part(8);
    assertThat(mayRequestTrial(4 * SECOND, COMMON, part(0))).isFalse();
    assertThat(mayRequestTrial(4 * SECOND, COMMON, neverSeen)).isFalse();
    assertThat(mayRequestTrial(4 * SECOND, COMMON, part(9))).isTrue();
    assertThat(mayRequestTrial(4 * SECOND, COMMON)).isTrue();
    assertThat(mayRequestTrial(7 * SECOND, COMMON, part(0))).isTrue();
    assertThat(mayRequestTrial(7 * SECOND, COMMON, neverSeen)).isTrue();
  }

  /** Requests with both were refused for ever. */
  @Test
  void soundPartsThatAreAlwaysTogetherAreTriedInOneRequest() {
    for (int number = 0; number < 3; number++) {
      crash(SECOND, COMMON, part(0));
    }
    assertThat(mayRequestTrial(6 * SECOND, COMMON, part(0))).isFalse();
    assertThat(mayRequestTrial(7 * SECOND, COMMON, part(0))).isTrue();
    Fingerprint asked = quarantine.trialPartOf(List.of(COMMON, part(0)));
    assertThat(quarantine.grantTrial(asked, 7 * SECOND)).isTrue();
    quarantine.recordAnswer(List.of(COMMON, part(0)), 7 * SECOND, 7 * SECOND);
    assertThat(quarantine.barredCount()).isZero();
  }

  @Test
  void trialOfARequestCountsForAllItsBarredParts() {
    for (int number = 0; number < 3; number++) {
      crash(0, COMMON, FAULTY, part(0));
    }
    assertThat(mayRequestTrial(6 * SECOND, COMMON, FAULTY)).isTrue();
    assertThat(quarantine.trialPartOf(List.of(FAULTY, COMMON))).isEqualTo(FAULTY);
    assertThat(quarantine.grantTrial(FAULTY, 6 * SECOND)).isTrue();
    quarantine.recordTrial(List.of(COMMON), 6 * SECOND);
    crash(6 * SECOND, COMMON, FAULTY);
    assertThat(mayRequestTrial(30 * SECOND, COMMON)).isFalse();
    assertThat(mayRequestTrial(36 * SECOND, COMMON)).isTrue();
  }

  /**
   * What follows a part that was never answered was never answered either, so that no request with
   * the part has known parts only. Requests with the faulty one, which come back again and again,
   * would take the trial of the sound one: two failed trials bar it for half an hour.
   */
  @Test
  void trialOfASoundPartIsLeftToRequestsWithoutAnotherBarredPart() {
    for (int number = 0; number < 3; number++) {
      crash(0, COMMON, FAULTY);
    }
    assertThat(isBarred(COMMON)).isTrue();
    Fingerprint neverSeen = part(8);
    long firstNeverSeen = firstTrial(COMMON, neverSeen);
    long firstFaulty = firstTrial(COMMON, FAULTY);
    assertThat(firstNeverSeen).isLessThan(firstFaulty);
  }

  private long firstTrial(Fingerprint part, Fingerprint other) {
    long now = 0;
    while (!mayRequestTrial(now, part, other)) {
      now += SECOND / 10;
    }
    return now;
  }

  /** Several daemons with the same records are asked for several requests at the same moment. */
  @Test
  void oneTrialIsGrantedAtATimeForRequestsThatShareAFaultyPart() {
    Map<Fingerprint, PartQuarantine> owners = new HashMap<>();
    List<Fingerprint> others = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      others.add(new Fingerprint(0xbad + 1 + number));
    }
    for (int number = 0; number < 3; number++) {
      NodeIncarnation node = nextNode();
      others.forEach(other -> quarantine.recordCrash(List.of(FAULTY, other), node, 0));
    }
    List<PartRecord> known = quarantine.barredRecords();
    assertThat(known).hasSize(7);
    int granted = 0;
    for (Fingerprint other : others) {
      List<Fingerprint> request = List.of(FAULTY, other);
      Fingerprint asked = quarantine.trialPartOf(request);
      PartQuarantine owner = owners.get(asked);
      if (owner == null) {
        owner = new PartQuarantine();
        owner.merge(known, 0);
        owners.put(asked, owner);
      }
      boolean due = mayRequestTrial(6 * SECOND, FAULTY, other);
      granted += due && owner.grantTrial(asked, 6 * SECOND) ? 1 : 0;
    }
    assertThat(granted).isEqualTo(1);
  }

  /** A node that asks for a pause rejects the request of the trial, which then says nothing. */
  @Test
  void soundPartWhoseTrialHasNoResultIsTriedAgainThreeSecondsLater() {
    for (int number = 0; number < 3; number++) {
      crash(0, COMMON);
    }
    assertThat(quarantine.grantTrial(COMMON, 3 * SECOND)).isTrue();
    assertThat(quarantine.grantTrial(COMMON, 5 * SECOND)).isFalse();
    assertThat(quarantine.grantTrial(COMMON, 6 * SECOND)).isTrue();
  }

  /** A trial at a node that another part crashed left a sound part alone for 30 s. */
  @Test
  void soundPartWhoseTrialIsSpoiltByAnotherFaultyPartIsTriedAgainThreeSecondsLater() {
    for (int number = 0; number < 3; number++) {
      crash(number, COMMON, part(number));
    }
    crash(4, FAULTY);
    crash(5, FAULTY);
    long trial = 2 + 3 * SECOND;
    assertThat(quarantine.grantTrial(COMMON, trial)).isTrue();
    NodeIncarnation node = nextNode();
    quarantine.recordCrash(List.of(COMMON), node, trial + 1);
    quarantine.recordCrash(List.of(FAULTY), node, trial + 2);
    assertThat(mayRequestTrial(trial + 3 * SECOND, COMMON)).isFalse();
    assertThat(mayRequestTrial(trial + 1 + 3 * SECOND, COMMON)).isTrue();
  }

  @Test
  void fleetSendsAFaultyPartAtMostThreeTimesInTenMinutesWhereTrialsHaveNoResult() {
    for (int number = 0; number < 3; number++) {
      crash(0, FAULTY);
    }
    int trials = 0;
    for (long now = 0; now < 600 * SECOND; now += SECOND / 10) {
      trials += quarantine.grantTrial(FAULTY, now) ? 1 : 0;
    }
    assertThat(trials).isEqualTo(3);
  }

  @Test
  void barredPartIsKnownAfterTheStoreIsAllThatIsLeft() {
    for (int number = 0; number < 3; number++) {
      crash(0, FAULTY);
    }
    PartQuarantine restarted = new PartQuarantine();
    List<PartRecord> stored = new ArrayList<>();
    quarantine
        .barredRecords()
        .forEach(barred -> stored.add(StoredQuarantineRecord.of(barred, 1).asPart()));
    restarted.merge(stored, 0);
    assertThat(restarted.barredAmong(List.of(FAULTY), 0)).containsExactly(FAULTY);
    assertThat(restarted.mayRequestTrial(List.of(FAULTY), 10 * SECOND)).isFalse();
  }

  @Test
  void daemonThatWasCutOffWhenAPartWasClearedLearnsItAfterwards() {
    for (int number = 0; number < 3; number++) {
      crash(0, COMMON);
    }
    PartQuarantine cutOff = new PartQuarantine();
    cutOff.merge(quarantine.recordsToSend(true, 0), 0);
    quarantine.recordAnswer(List.of(COMMON), SECOND, SECOND);
    quarantine.merge(cutOff.recordsToSend(true, 60 * SECOND), 60 * SECOND);
    cutOff.merge(quarantine.recordsToSend(false, 60 * SECOND), 60 * SECOND);
    assertThat(cutOff.barredCount()).isZero();
  }

  /** The daemon that grants trials denied them, since it had answered the part before. */
  @Test
  void daemonThatBarsAPartLearnsThatAnotherHasAnsweredIt() {
    PartQuarantine granting = new PartQuarantine();
    granting.recordAnswer(List.of(COMMON), 0, 0);
    for (int number = 0; number < 3; number++) {
      crash(SECOND, COMMON);
    }
    for (long now = SECOND; now < 60 * SECOND; now += SECOND) {
      granting.merge(quarantine.recordsToSend(false, now), now);
      quarantine.merge(granting.recordsToSend(false, now), now);
    }
    boolean tried = granting.grantTrial(COMMON, 60 * SECOND);
    assertThat(tried || !isBarred(COMMON)).isTrue();
  }

  /** Daemons that get the same records in any order, some of them again, agree once they talk. */
  @Test
  void daemonsAgreeWhateverTheOrderOfMessages() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<PartRecord> all = new ArrayList<>();
      for (int number = 0; number < 60; number++) {
        Fingerprint part = part(random.nextInt(6));
        PartRecord earlier = new PartRecord(part, random.nextInt(2), Set.of(), false, false, 0);
        PartRecord later = earlier.withCrash(NodeIncarnation.only("n" + random.nextInt(40)));
        all.add(random.nextInt(9) == 0 ? later.cleared() : later);
      }
      PartQuarantine first = new PartQuarantine();
      PartQuarantine second = new PartQuarantine();
      first.merge(all, 0);
      Collections.shuffle(all, random);
      all.addAll(all.subList(0, 20));
      for (PartRecord each : all) {
        second.merge(List.of(each), 0);
      }
      second.merge(first.recordsToSend(true, 0), 0);
      first.merge(second.recordsToSend(true, 0), 0);
      for (int number = 0; number < 6; number++) {
        assertThat(second.recordOf(part(number))).isEqualTo(first.recordOf(part(number)));
      }
      assertThat(Set.copyOf(second.barredRecords())).isEqualTo(Set.copyOf(first.barredRecords()));
    }
  }

  @Test
  void recordsAndMessagesAreBounded() {
    for (int number = 0; number < 10_000; number++) {
      crash(number, part(number), FAULTY);
    }
    assertThat(quarantine.size()).isLessThanOrEqualTo(1_024);
    assertThat(quarantine.recordOf(FAULTY).crashCount()).isLessThanOrEqualTo(16);
    assertThat(quarantine.recordsToSend(true, 0)).hasSizeLessThanOrEqualTo(14);
    assertThat(isBarred(FAULTY)).isTrue();
  }
}
