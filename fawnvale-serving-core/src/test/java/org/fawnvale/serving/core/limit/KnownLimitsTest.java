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

class KnownLimitsTest {

  private static final NodeIncarnation NODE = NodeIncarnation.only("n1");
  private static final long SECOND = 1_000_000_000L;

  private final KnownLimits limits = new KnownLimits();

  private Change advertise(double perSecond, int sentVersion) {
    return limits.recordResponse(
        NODE, AdvertisedLimit.of(perSecond, "told"), sentVersion, true, SECOND);
  }

  private Change advertiseNone(int sentVersion, boolean mayEnd) {
    return limits.recordResponse(NODE, null, sentVersion, mayEnd, SECOND);
  }

  private static void exchange(KnownLimits from, KnownLimits to) {
    from.updatesToSend(true, SECOND).forEach(update -> to.merge(update, SECOND));
  }

  @Test
  void limitAppliesFromFirstResponse() {
    assertThat(advertise(1.6, KnownLimits.UNKNOWN_VERSION)).isEqualTo(Change.NAMED);
    assertThat(advertise(1.6, KnownLimits.UNKNOWN_VERSION)).isEqualTo(Change.NONE);
    assertThat(limits.perSecond(NODE)).isEqualTo(1.6);
    assertThat(limits.perSecond(NodeIncarnation.only("n2"))).isEqualTo(LimitUpdate.UNLIMITED);
  }

  @Test
  void twoResponsesWithoutLimitAtCurrentVersionEndIt() {
    advertise(2, KnownLimits.UNKNOWN_VERSION);
    int version = limits.version(NODE);
    assertThat(advertiseNone(version, true)).isEqualTo(Change.NONE);
    assertThat(advertiseNone(version, true)).isEqualTo(Change.ENDED);
    assertThat(limits.activeCount()).isZero();
  }

  @Test
  void outdatedResponseNeitherEndsNorRaisesLimit() {
    advertise(2, KnownLimits.UNKNOWN_VERSION);
    for (int answer = 0; answer < 10; answer++) {
      advertiseNone(KnownLimits.UNKNOWN_VERSION, true);
      advertise(50, KnownLimits.UNKNOWN_VERSION);
    }
    assertThat(limits.perSecond(NODE)).isEqualTo(2);
    assertThat(advertise(1, KnownLimits.UNKNOWN_VERSION)).isEqualTo(Change.CHANGED);
    assertThat(limits.perSecond(NODE)).isEqualTo(1);
  }

  @Test
  void responsesToOrdersAndRejectionsDoNotEndLimit() {
    advertise(2, KnownLimits.UNKNOWN_VERSION);
    for (int answer = 0; answer < 10; answer++) {
      advertiseNone(limits.version(NODE), false);
    }
    assertThat(limits.perSecond(NODE)).isEqualTo(2);
  }

  @Test
  void responseWithLimitResetsCountOfResponsesWithout() {
    advertise(2, KnownLimits.UNKNOWN_VERSION);
    int version = limits.version(NODE);
    advertiseNone(version, true);
    advertise(2, version);
    advertiseNone(version, true);
    assertThat(limits.perSecond(NODE)).isEqualTo(2);
  }

  @Test
  void responseAtCurrentVersionRaisesLimit() {
    advertise(1, KnownLimits.UNKNOWN_VERSION);
    assertThat(advertise(8, limits.version(NODE))).isEqualTo(Change.CHANGED);
    assertThat(limits.perSecond(NODE)).isEqualTo(8);
  }

  /**
   * A node may advertise another limit in each response: raised limits must not be sent at once.
   */
  @Test
  void onlyNewAndLoweredLimitsAreUrgent() {
    advertise(4, KnownLimits.UNKNOWN_VERSION);
    assertThat(limits.takeUrgent()).isTrue();
    advertise(8, limits.version(NODE));
    assertThat(limits.takeUrgent()).isFalse();
    advertise(2, limits.version(NODE));
    assertThat(limits.takeUrgent()).isTrue();
    advertiseNone(limits.version(NODE), true);
    advertiseNone(limits.version(NODE), true);
    assertThat(limits.takeUrgent()).isFalse();
    assertThat(limits.updatesToSend(false, SECOND)).hasSize(1);
  }

  @Test
  void newIncarnationHasNoLimit() {
    advertise(1, KnownLimits.UNKNOWN_VERSION);
    assertThat(limits.perSecond(new NodeIncarnation(NODE.id(), 7)))
        .isEqualTo(LimitUpdate.UNLIMITED);
  }

  @Test
  void startedDaemonReceivesOldLimit() {
    advertise(3, KnownLimits.UNKNOWN_VERSION);
    KnownLimits peer = new KnownLimits();
    limits.updatesToSend(false, 60 * SECOND).forEach(update -> peer.merge(update, 60 * SECOND));
    assertThat(peer.perSecond(NODE)).isEqualTo(3);
  }

  @Test
  void limitExpiresWhileDaemonsRepeatItToEachOther() {
    advertise(3, KnownLimits.UNKNOWN_VERSION);
    KnownLimits peer = new KnownLimits();
    for (long now = SECOND; now < 2_000 * SECOND; now += SECOND) {
      long at = now;
      limits.updatesToSend(true, at).forEach(update -> peer.merge(update, at));
      peer.updatesToSend(true, at).forEach(update -> limits.merge(update, at));
    }
    KnownLimits newcomer = new KnownLimits();
    limits
        .updatesToSend(true, 2_000 * SECOND)
        .forEach(update -> newcomer.merge(update, 2_000 * SECOND));
    assertThat(newcomer.activeCount()).isZero();
  }

  /** Daemons must converge after concurrent changes, in whatever order updates arrive. */
  @Test
  void daemonsConvergeInAnyOrderOfUpdates() {
    for (int seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      List<KnownLimits> daemons = new ArrayList<>();
      for (int number = 0; number < 3; number++) {
        daemons.add(new KnownLimits());
      }
      for (int step = 0; step < 30; step++) {
        KnownLimits daemon = daemons.get(random.nextInt(3));
        KnownLimits peer = daemons.get(random.nextInt(3));
        int version = random.nextInt(daemon.version(NODE) + 1);
        switch (random.nextInt(4)) {
          case 0 ->
              daemon.recordResponse(
                  NODE, AdvertisedLimit.of(random.nextInt(4), "t"), version, true, SECOND);
          case 1 -> daemon.recordResponse(NODE, null, version, true, SECOND);
          default -> exchange(daemon, peer);
        }
      }
      for (int round = 0; round < 2; round++) {
        daemons.forEach(daemon -> daemons.forEach(peer -> exchange(daemon, peer)));
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
  void manyLimitsAreBoundedInMemoryAndMessages() {
    for (int number = 0; number < 20_000; number++) {
      NodeIncarnation incarnation = NodeIncarnation.only("n" + number);
      limits.recordResponse(
          incarnation, AdvertisedLimit.of(1, "1"), KnownLimits.UNKNOWN_VERSION, true, SECOND);
      if (number % 1_000 == 0) {
        assertThat(limits.updatesToSend(true, SECOND)).hasSizeLessThanOrEqualTo(40);
      }
    }
    assertThat(limits.activeCount()).isLessThanOrEqualTo(16_384);
  }
}
