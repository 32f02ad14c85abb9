package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/** Which requests are sent to no node any more, and which are not held guilty. */
class QuarantineTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Fingerprint SHEET = new Fingerprint(1);

  private final Quarantine quarantine = new Quarantine();

  private static NodeIncarnation life(int number) {
    return NodeIncarnation.only("n" + number);
  }

  @Test
  void aRequestIsBarredWithTheThirdNodeThatEnds() {
    assertThat(quarantine.recordFailure(SHEET, life(1), 0)).isEqualTo(1);
    assertThat(quarantine.recordFailure(SHEET, life(2), 0)).isEqualTo(2);
    assertThat(quarantine.isQuarantined(SHEET, 0)).isFalse();
    assertThat(quarantine.recordFailure(SHEET, life(3), 0)).isEqualTo(3);
    assertThat(quarantine.isQuarantined(SHEET, 0)).isTrue();
  }

  @Test
  void oneEndSeenByManyDaemonsCountsOnce() {
    for (int daemon = 0; daemon < 9; daemon++) {
      QuarantineRecord told = new QuarantineRecord(SHEET, Set.of(life(1)), Set.of());
      assertThat(quarantine.mergeFromPeer(List.of(told), 0)).isEmpty();
    }
    assertThat(quarantine.isQuarantined(SHEET, 0)).isFalse();
  }

  @Test
  void aNodeThatHasStartedAgainUnderItsIdEndsAnew() {
    for (long started = 1; started <= 3; started++) {
      quarantine.recordFailure(SHEET, new NodeIncarnation("n1", started), 0);
    }
    assertThat(quarantine.isQuarantined(SHEET, 0)).isTrue();
  }

  @Test
  void endsThatThreeDaemonsSawAreAddedUp() {
    quarantine.recordFailure(SHEET, life(1), 0);
    QuarantineRecord second = new QuarantineRecord(SHEET, Set.of(life(2)), Set.of());
    QuarantineRecord third = new QuarantineRecord(SHEET, Set.of(life(3)), Set.of());
    assertThat(quarantine.mergeFromPeer(List.of(second, third), 0)).containsExactly(SHEET);
    assertThat(quarantine.mergeFromPeer(List.of(second, third), 0)).isEmpty();
  }

  @Test
  void anAnswerClearsARequest() {
    quarantine.recordFailure(SHEET, life(1), 0);
    quarantine.recordFailure(SHEET, life(2), 0);
    quarantine.recordResponse(SHEET, 0);
    assertThat(quarantine.recordFailure(SHEET, life(3), 0)).isEqualTo(1);
  }

  @Test
  void daemonsAgreeInWhateverOrderTheyHear() {
    List<QuarantineRecord> told = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      told.add(new QuarantineRecord(SHEET, Set.of(life(number)), Set.of(life(number / 2))));
    }
    Random random = new Random(20261203);
    for (int run = 0; run < 100; run++) {
      Quarantine other = new Quarantine();
      Collections.shuffle(told, random);
      other.mergeFromPeer(told, 0);
      other.mergeFromPeer(told.subList(0, 3), 0);
      assertThat(other.recordsToSend(true, 0))
          .extracting(QuarantineRecord::failureCount)
          .containsExactly(3);
      assertThat(other.isQuarantined(SHEET, 0)).isTrue();
    }
  }

  @Test
  void aDaemonThatStartsLearnsOfABarredRequestWithTheNextNote() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(SHEET, life(number), 0);
    }
    Quarantine started = new Quarantine();
    List<Fingerprint> barred =
        started.mergeFromPeer(quarantine.recordsToSend(false, 600 * SECOND), 600 * SECOND);
    assertThat(barred).containsExactly(SHEET);
  }

  @Test
  void onlyWhatIsNewOrHeavyIsTold() {
    quarantine.recordFailure(SHEET, life(1), 0);
    assertThat(quarantine.takeUrgent()).isTrue();
    assertThat(quarantine.takeUrgent()).isFalse();
    assertThat(quarantine.recordsToSend(false, SECOND)).hasSize(1);
    assertThat(quarantine.recordsToSend(false, 5 * SECOND)).isEmpty();
  }

  @Test
  void aFloodOfOtherRequestsHidesNoBarredOne() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(SHEET, life(number), 0);
    }
    for (int other = 2; other < 20_000; other++) {
      quarantine.recordFailure(new Fingerprint(other), life(other), SECOND);
    }
    assertThat(quarantine.isQuarantined(SHEET, SECOND)).isTrue();
    assertThat(quarantine.size()).isLessThan(5_000);
  }

  /**
   * What the soak saw: all callers asked for the same; three nodes ended for another request's sake
   * while they ran it, within the time of one answer, so that no good answer came between. It was
   * refused by all daemons from then on. Callers are told to come back after a minute; somebody
   * should try it once then.
   */
  @Test
  void aRequestThatComesBackWhenItWasToldToIsTriedOnceMore() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(SHEET, life(number), 0);
    }
    assertThat(quarantine.isQuarantined(SHEET, 60 * SECOND)).isFalse();
  }

  private void bar() {
    for (int number = 1; number <= 3; number++) {
      quarantine.recordFailure(SHEET, life(number), 0);
    }
  }

  @Test
  void itIsTriedOnceOnlyAndNotBeforeItsCallersWereToldToComeBack() {
    bar();
    assertThat(quarantine.isQuarantined(SHEET, 59 * SECOND)).isTrue();
    quarantine.recordSent(SHEET);
    assertThat(quarantine.isQuarantined(SHEET, 60 * SECOND)).isTrue();
  }

  @Test
  void aTrialThatIsNotSentStaysDue() {
    bar();
    assertThat(quarantine.isQuarantined(SHEET, 60 * SECOND)).isFalse();
    assertThat(quarantine.isQuarantined(SHEET, 61 * SECOND)).isFalse();
    quarantine.recordSent(SHEET);
    assertThat(quarantine.isQuarantined(SHEET, 62 * SECOND)).isTrue();
    assertThat(quarantine.isQuarantined(SHEET, 900 * SECOND)).isTrue();
  }

  @Test
  void oneDaemonOnlyTriesIt() {
    bar();
    quarantine.allowTrials(false);
    assertThat(quarantine.isQuarantined(SHEET, 60 * SECOND)).isTrue();
  }

  @Test
  void aTrialThatIsAnsweredClearsItHereAndElsewhere() {
    bar();
    Quarantine other = new Quarantine();
    other.mergeFromPeer(quarantine.recordsToSend(true, 0), 0);
    other.allowTrials(false);
    assertThat(other.isQuarantined(SHEET, 61 * SECOND)).isTrue();
    quarantine.recordSent(SHEET);
    quarantine.recordResponse(SHEET, 61 * SECOND);
    other.mergeFromPeer(quarantine.recordsToSend(true, 61 * SECOND), 61 * SECOND);
    assertThat(other.isQuarantined(SHEET, 62 * SECOND)).isFalse();
  }

  @Test
  void aTrialThatEndsANodeIsTheLastEverywhere() {
    bar();
    quarantine.recordSent(SHEET);
    quarantine.recordFailure(SHEET, life(4), 61 * SECOND);
    Quarantine next = new Quarantine();
    next.mergeFromPeer(quarantine.recordsToSend(true, 61 * SECOND), 61 * SECOND);
    assertThat(next.isQuarantined(SHEET, 1_000 * SECOND)).isTrue();
    assertThat(quarantine.isQuarantined(SHEET, 1_000 * SECOND)).isTrue();
  }
}
