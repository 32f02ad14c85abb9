package org.fawnvale.serving.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.fawnvale.serving.core.limit.KnownLimits.Change;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/** What is known of limits, by answers and by what others tell. */
class KnownLimitsTest {

  private static final NodeIncarnation NODE = NodeIncarnation.only("n1");
  private static final long SECOND = 1_000_000_000L;

  private final KnownLimits known = new KnownLimits();

  private Change names(double limit, int sentStamp) {
    return known.recordResponse(NODE, AdvertisedLimit.of(limit, "told"), sentStamp, true, SECOND);
  }

  private Change namesNone(int sentStamp, boolean mayEnd) {
    return known.recordResponse(NODE, null, sentStamp, mayEnd, SECOND);
  }

  private static void exchange(KnownLimits from, KnownLimits to) {
    from.updatesToSend(true, SECOND).forEach(note -> to.merge(note, SECOND));
  }

  @Test
  void aLimitHoldsFromTheFirstAnswerThatNamesIt() {
    assertThat(names(1.6, KnownLimits.UNKNOWN_VERSION)).isEqualTo(Change.NAMED);
    assertThat(names(1.6, KnownLimits.UNKNOWN_VERSION)).isEqualTo(Change.NONE);
    assertThat(known.perSecond(NODE)).isEqualTo(1.6);
    assertThat(known.perSecond(NodeIncarnation.only("n2"))).isEqualTo(LimitUpdate.UNLIMITED);
  }

  @Test
  void twoAnswersWithoutItThatWereAskedForKnowingOfItEndIt() {
    names(2, KnownLimits.UNKNOWN_VERSION);
    int stamp = known.version(NODE);
    assertThat(namesNone(stamp, true)).isEqualTo(Change.NONE);
    assertThat(namesNone(stamp, true)).isEqualTo(Change.ENDED);
    assertThat(known.activeCount()).isZero();
  }

  @Test
  void anAnswerFromBeforeItNeitherEndsNorRaisesIt() {
    names(2, KnownLimits.UNKNOWN_VERSION);
    for (int answer = 0; answer < 10; answer++) {
      namesNone(KnownLimits.UNKNOWN_VERSION, true);
      names(50, KnownLimits.UNKNOWN_VERSION);
    }
    assertThat(known.perSecond(NODE)).isEqualTo(2);
    assertThat(names(1, KnownLimits.UNKNOWN_VERSION)).isEqualTo(Change.CHANGED);
    assertThat(known.perSecond(NODE)).isEqualTo(1);
  }

  @Test
  void answersToOrdersAndRefusalsDoNotEndIt() {
    names(2, KnownLimits.UNKNOWN_VERSION);
    for (int answer = 0; answer < 10; answer++) {
      namesNone(known.version(NODE), false);
    }
    assertThat(known.perSecond(NODE)).isEqualTo(2);
  }

  @Test
  void anAnswerBetweenTheTwoThatNamesItKeepsIt() {
    names(2, KnownLimits.UNKNOWN_VERSION);
    int stamp = known.version(NODE);
    namesNone(stamp, true);
    names(2, stamp);
    namesNone(stamp, true);
    assertThat(known.perSecond(NODE)).isEqualTo(2);
  }

  @Test
  void aHigherLimitReplacesALowerOneThatItKnewOf() {
    names(1, KnownLimits.UNKNOWN_VERSION);
    assertThat(names(8, known.version(NODE))).isEqualTo(Change.CHANGED);
    assertThat(known.perSecond(NODE)).isEqualTo(8);
  }

  /** A limit that differs in each answer must not make each answer a note to all. */
  @Test
  void onlyWhatLetsLessThroughIsToldAtOnce() {
    names(4, KnownLimits.UNKNOWN_VERSION);
    assertThat(known.takeUrgent()).isTrue();
    names(8, known.version(NODE));
    assertThat(known.takeUrgent()).isFalse();
    names(2, known.version(NODE));
    assertThat(known.takeUrgent()).isTrue();
    namesNone(known.version(NODE), true);
    namesNone(known.version(NODE), true);
    assertThat(known.takeUrgent()).isFalse();
    assertThat(known.updatesToSend(false, SECOND)).hasSize(1);
  }

  @Test
  void aNewLifeHasNone() {
    names(1, KnownLimits.UNKNOWN_VERSION);
    assertThat(known.perSecond(new NodeIncarnation(NODE.id(), 7))).isEqualTo(LimitUpdate.UNLIMITED);
  }

  @Test
  void aDaemonThatStartsLearnsOfALimitLongAfterItWasNamed() {
    names(3, KnownLimits.UNKNOWN_VERSION);
    KnownLimits other = new KnownLimits();
    known.updatesToSend(false, 60 * SECOND).forEach(note -> other.merge(note, 60 * SECOND));
    assertThat(other.perSecond(NODE)).isEqualTo(3);
  }

  @Test
  void whatOthersToldLongAgoDoesNotLiveForEver() {
    names(3, KnownLimits.UNKNOWN_VERSION);
    KnownLimits other = new KnownLimits();
    for (long now = SECOND; now < 2_000 * SECOND; now += SECOND) {
      long at = now;
      known.updatesToSend(true, at).forEach(note -> other.merge(note, at));
      other.updatesToSend(true, at).forEach(note -> known.merge(note, at));
    }
    KnownLimits late = new KnownLimits();
    known.updatesToSend(true, 2_000 * SECOND).forEach(note -> late.merge(note, 2_000 * SECOND));
    assertThat(late.activeCount()).isZero();
  }

  /** Changes that two daemons made without knowing of each other, told in any order. */
  @Test
  void daemonsAgreeInWhateverOrderTheyHear() {
    for (int seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      List<KnownLimits> daemons = new ArrayList<>();
      for (int number = 0; number < 3; number++) {
        daemons.add(new KnownLimits());
      }
      for (int step = 0; step < 30; step++) {
        KnownLimits one = daemons.get(random.nextInt(3));
        KnownLimits other = daemons.get(random.nextInt(3));
        int stamp = random.nextInt(one.version(NODE) + 1);
        switch (random.nextInt(4)) {
          case 0 ->
              one.recordResponse(
                  NODE, AdvertisedLimit.of(random.nextInt(4), "t"), stamp, true, SECOND);
          case 1 -> one.recordResponse(NODE, null, stamp, true, SECOND);
          default -> exchange(one, other);
        }
      }
      for (int round = 0; round < 2; round++) {
        daemons.forEach(one -> daemons.forEach(other -> exchange(one, other)));
      }
      assertThat(daemons.get(1).perSecond(NODE))
          .as("seed %d", seed)
          .isEqualTo(daemons.get(0).perSecond(NODE));
      assertThat(daemons.get(2).perSecond(NODE))
          .as("seed %d", seed)
          .isEqualTo(daemons.get(0).perSecond(NODE));
      Collections.shuffle(daemons, random);
    }
  }

  @Test
  void limitsWithoutEndFillNeitherMemoryNorNotes() {
    for (int number = 0; number < 20_000; number++) {
      NodeIncarnation life = NodeIncarnation.only("n" + number);
      known.recordResponse(
          life, AdvertisedLimit.of(1, "1"), KnownLimits.UNKNOWN_VERSION, true, SECOND);
      if (number % 1_000 == 0) {
        assertThat(known.updatesToSend(true, SECOND)).hasSizeLessThanOrEqualTo(40);
      }
    }
    assertThat(known.activeCount()).isLessThanOrEqualTo(16_384);
  }
}
