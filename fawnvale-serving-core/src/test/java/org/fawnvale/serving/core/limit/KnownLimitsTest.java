package org.fawnvale.serving.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.fawnvale.serving.core.limit.KnownLimits.Change;
import org.fawnvale.serving.core.model.NodeLife;
import org.fawnvale.serving.core.model.StatedLimit;
import org.junit.jupiter.api.Test;

/** What is known of limits, by answers and by what others tell. */
class KnownLimitsTest {

  private static final NodeLife NODE = NodeLife.only("n1");
  private static final long SECOND = 1_000_000_000L;

  private final KnownLimits known = new KnownLimits();

  private Change names(double limit, int sentStamp) {
    return known.hear(NODE, StatedLimit.of(limit, "told"), sentStamp, true, SECOND);
  }

  private Change namesNone(int sentStamp, boolean mayEnd) {
    return known.hear(NODE, null, sentStamp, mayEnd, SECOND);
  }

  private static void exchange(KnownLimits from, KnownLimits to) {
    from.toTell(true, SECOND).forEach(note -> to.learn(note, SECOND));
  }

  @Test
  void aLimitHoldsFromTheFirstAnswerThatNamesIt() {
    assertThat(names(1.6, KnownLimits.UNKNOWN)).isEqualTo(Change.NAMED);
    assertThat(names(1.6, KnownLimits.UNKNOWN)).isEqualTo(Change.NONE);
    assertThat(known.of(NODE)).isEqualTo(1.6);
    assertThat(known.of(NodeLife.only("n2"))).isEqualTo(LimitUpdate.OVER);
  }

  @Test
  void twoAnswersWithoutItThatWereAskedForKnowingOfItEndIt() {
    names(2, KnownLimits.UNKNOWN);
    int stamp = known.stamp(NODE);
    assertThat(namesNone(stamp, true)).isEqualTo(Change.NONE);
    assertThat(namesNone(stamp, true)).isEqualTo(Change.ENDED);
    assertThat(known.inForce()).isZero();
  }

  @Test
  void anAnswerFromBeforeItNeitherEndsNorRaisesIt() {
    names(2, KnownLimits.UNKNOWN);
    for (int answer = 0; answer < 10; answer++) {
      namesNone(KnownLimits.UNKNOWN, true);
      names(50, KnownLimits.UNKNOWN);
    }
    assertThat(known.of(NODE)).isEqualTo(2);
    assertThat(names(1, KnownLimits.UNKNOWN)).isEqualTo(Change.CHANGED);
    assertThat(known.of(NODE)).isEqualTo(1);
  }

  @Test
  void answersToOrdersAndRefusalsDoNotEndIt() {
    names(2, KnownLimits.UNKNOWN);
    for (int answer = 0; answer < 10; answer++) {
      namesNone(known.stamp(NODE), false);
    }
    assertThat(known.of(NODE)).isEqualTo(2);
  }

  @Test
  void anAnswerBetweenTheTwoThatNamesItKeepsIt() {
    names(2, KnownLimits.UNKNOWN);
    int stamp = known.stamp(NODE);
    namesNone(stamp, true);
    names(2, stamp);
    namesNone(stamp, true);
    assertThat(known.of(NODE)).isEqualTo(2);
  }

  @Test
  void aHigherLimitReplacesALowerOneThatItKnewOf() {
    names(1, KnownLimits.UNKNOWN);
    assertThat(names(8, known.stamp(NODE))).isEqualTo(Change.CHANGED);
    assertThat(known.of(NODE)).isEqualTo(8);
  }

  /** A limit that differs in each answer must not make each answer a note to all. */
  @Test
  void onlyWhatLetsLessThroughIsToldAtOnce() {
    names(4, KnownLimits.UNKNOWN);
    assertThat(known.takeNews()).isTrue();
    names(8, known.stamp(NODE));
    assertThat(known.takeNews()).isFalse();
    names(2, known.stamp(NODE));
    assertThat(known.takeNews()).isTrue();
    namesNone(known.stamp(NODE), true);
    namesNone(known.stamp(NODE), true);
    assertThat(known.takeNews()).isFalse();
    assertThat(known.toTell(false, SECOND)).hasSize(1);
  }

  @Test
  void aNewLifeHasNone() {
    names(1, KnownLimits.UNKNOWN);
    assertThat(known.of(new NodeLife(NODE.id(), 7))).isEqualTo(LimitUpdate.OVER);
  }

  @Test
  void aDaemonThatStartsLearnsOfALimitLongAfterItWasNamed() {
    names(3, KnownLimits.UNKNOWN);
    KnownLimits other = new KnownLimits();
    known.toTell(false, 60 * SECOND).forEach(note -> other.learn(note, 60 * SECOND));
    assertThat(other.of(NODE)).isEqualTo(3);
  }

  @Test
  void whatOthersToldLongAgoDoesNotLiveForEver() {
    names(3, KnownLimits.UNKNOWN);
    KnownLimits other = new KnownLimits();
    for (long now = SECOND; now < 2_000 * SECOND; now += SECOND) {
      long at = now;
      known.toTell(true, at).forEach(note -> other.learn(note, at));
      other.toTell(true, at).forEach(note -> known.learn(note, at));
    }
    KnownLimits late = new KnownLimits();
    known.toTell(true, 2_000 * SECOND).forEach(note -> late.learn(note, 2_000 * SECOND));
    assertThat(late.inForce()).isZero();
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
        int stamp = random.nextInt(one.stamp(NODE) + 1);
        switch (random.nextInt(4)) {
          case 0 -> one.hear(NODE, StatedLimit.of(random.nextInt(4), "t"), stamp, true, SECOND);
          case 1 -> one.hear(NODE, null, stamp, true, SECOND);
          default -> exchange(one, other);
        }
      }
      for (int round = 0; round < 2; round++) {
        daemons.forEach(one -> daemons.forEach(other -> exchange(one, other)));
      }
      assertThat(daemons.get(1).of(NODE)).as("seed %d", seed).isEqualTo(daemons.get(0).of(NODE));
      assertThat(daemons.get(2).of(NODE)).as("seed %d", seed).isEqualTo(daemons.get(0).of(NODE));
      Collections.shuffle(daemons, random);
    }
  }

  @Test
  void limitsWithoutEndFillNeitherMemoryNorNotes() {
    for (int number = 0; number < 20_000; number++) {
      NodeLife life = NodeLife.only("n" + number);
      known.hear(life, StatedLimit.of(1, "1"), KnownLimits.UNKNOWN, true, SECOND);
      if (number % 1_000 == 0) {
        assertThat(known.toTell(true, SECOND)).hasSizeLessThanOrEqualTo(40);
      }
    }
    assertThat(known.inForce()).isLessThanOrEqualTo(16_384);
  }
}
