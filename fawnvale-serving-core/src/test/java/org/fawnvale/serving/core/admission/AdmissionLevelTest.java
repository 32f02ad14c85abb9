package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Which urgencies are admitted, how fast the level follows bursts, and how steady it is. */
class AdmissionLevelTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long TICK = SECOND / 10;
  private static final double GROUPS = 12;
  private static final AdmissionLevel.Capacity USUAL = new AdmissionLevel.Capacity(GROUPS, 0.8);

  private final AdmissionLevel level = new AdmissionLevel();

  /** Guards against less urgent work that takes the time of more urgent work. */
  @Test
  void admitsTheMostUrgentWorkFirst() {
    level.update(List.of(3.0, 0.0, 7.0, 4.0, 5.0), USUAL, 0);
    assertThat(level.share(0)).isEqualTo(1);
    assertThat(level.share(2)).isEqualTo(1);
    assertThat(level.share(3)).isBetween(0.19, 0.21);
    assertThat(level.share(4)).isZero();
    assertThat(level.level()).isBetween(3.19, 3.21);
  }

  /** Guards against refusals below capacity, and for want of a group, which has its own reason. */
  @Test
  void admitsEverythingBelowCapacityAndWithoutGroups() {
    level.update(List.of(3.0, 3.0, 3.0), USUAL, 0);
    assertThat(level.isCutting()).isFalse();
    assertThat(level.level()).isEqualTo(AdmissionLevel.ALL);
    level.update(List.of(30.0, 30.0), new AdmissionLevel.Capacity(0, 0), SECOND);
    assertThat(level.isCutting()).isFalse();
  }

  /** Guards against a burst's first requests that stay queued, so that later ones are late too. */
  @Test
  void fullGroupsAreGivenLessWork() {
    level.update(List.of(6.0, 6.0), USUAL, 0);
    double usual = level.share(1);
    level.update(List.of(6.0, 6.0), new AdmissionLevel.Capacity(GROUPS, 1.3), TICK);
    assertThat(level.share(1)).isLessThan(usual - 0.5);
    assertThat(level.share(0)).isGreaterThan(0.7);
  }

  /**
   * Guards against shares that are no shares, such as 0 / 0 for an urgency without requests below
   * the level, after which its requests were refused for ever.
   */
  @Property(tries = 200)
  void sharesFallWithUrgency(
      @ForAll @Size(10) List<@DoubleRange(max = 30) Double> offered,
      @ForAll @DoubleRange(max = 3) double load) {
    level.update(offered, new AdmissionLevel.Capacity(GROUPS, load), 0);
    for (int urgency = 0; urgency < OfferedByUrgency.URGENCIES; urgency++) {
      assertThat(level.share(urgency)).isBetween(0.0, 1.0);
      if (urgency > 0) {
        assertThat(level.share(urgency)).isLessThanOrEqualTo(level.share(urgency - 1));
      }
    }
  }

  /** Offers random requests with a mean work of 50 ms and returns the share of urgency 6. */
  private double run(
      OfferedByUrgency offered, Random random, double fromSecond, double rate, double seconds) {
    long from = (long) (fromSecond * SECOND);
    for (long now = from; now < from + seconds * SECOND; now += TICK) {
      int requests = (int) Math.round(rate / 10 + Math.sqrt(rate / 10) * random.nextGaussian());
      for (int request = 0; request < requests; request++) {
        double work = -50 * Math.log(1 - random.nextDouble());
        offered.recordWork("m", request % 2 == 0 ? 1 : 6, work, now);
      }
      level.update(offered.busyGroups(now + TICK / 2).get("m"), USUAL, now + TICK / 2);
    }
    return level.share(6);
  }

  /** Guards against a level that comes when the burst is over, or stays after it. */
  @Test
  void followsABurstWithinHalfASecondAndItsEndWithinOne() {
    Random random = new Random(1);
    OfferedByUrgency offered = new OfferedByUrgency();
    run(offered, random, 0, 170, 4);
    assertThat(level.isCutting()).isFalse();
    run(offered, random, 4, 400, 0.5);
    assertThat(level.share(6)).isLessThan(0.75);
    run(offered, random, 4.5, 400, 2);
    assertThat(level.share(6)).isLessThan(0.25);
    run(offered, random, 6.5, 170, 1);
    assertThat(level.isCutting()).isFalse();
  }

  /** Guards against a level that swings with the noise of a steady load. */
  @Test
  void swingsByAtMostAFifthInSteadyLoad() {
    Random random = new Random(2);
    OfferedByUrgency offered = new OfferedByUrgency();
    run(offered, random, 0, 300, 5);
    double least = 1;
    double most = 0;
    for (int step = 0; step < 100; step++) {
      double share = run(offered, random, 5 + step / 10.0, 300, 0.1);
      least = Math.min(least, share);
      most = Math.max(most, share);
    }
    assertThat(most - least).isLessThanOrEqualTo(0.2);
    assertThat(least).isBetween(0.2, 0.6);
  }
}
