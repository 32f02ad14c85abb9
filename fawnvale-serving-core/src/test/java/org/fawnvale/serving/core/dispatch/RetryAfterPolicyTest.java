package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongUnaryOperator;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/** When refused callers return, and how many callers are answered in time as a result. */
class RetryAfterPolicyTest {

  private static final ModelSpec SMALL = new ModelSpec("small", 4, 0.5, 0.6, 12_000, 1_100);

  /** Engines whose steps take longer with each request. */
  private static final EngineSpec STEEP = engine(24, 6.07, 0.341, 46_000);

  /** Engines whose steps hardly depend on the number of requests. */
  private static final EngineSpec FLAT = engine(18, 5.95, 0.0445, 50_700);

  private static final int DAEMONS = 78;
  private static final int HEADS = 12;
  private static final int SEEDS = 12;

  private static EngineSpec engine(
      int slots, double stepMillis, double perSequenceMillis, double readTokens) {
    return new EngineSpec(
        slots,
        1_000_000,
        5,
        2_048,
        List.of(SMALL),
        stepMillis,
        perSequenceMillis,
        0,
        readTokens,
        0,
        14,
        21,
        300,
        new RequestSize(841, 111));
  }

  private static LoadSimulation.Load load(EngineSpec engine, DoubleUnaryOperator rate) {
    return new LoadSimulation.Load(engine, SMALL, DAEMONS, HEADS, rate, 12, 120, 300, 6_000);
  }

  private static DoubleUnaryOperator burst(double usual, double times) {
    return second -> second >= 4 && second < 7 ? usual * times : usual;
  }

  private static LongUnaryOperator policy() {
    RetryAfterPolicy times = new RetryAfterPolicy();
    return remaining -> times.nextMillis(remaining, 0);
  }

  private static LongUnaryOperator shortTimes() {
    Random random = new Random(3);
    return left -> 400 + random.nextInt(1_000);
  }

  private static LoadSimulation.Outcome mean(LoadSimulation.Load load, LongUnaryOperator returns) {
    double inTime = 0;
    double late = 0;
    double lost = 0;
    double refused = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      LoadSimulation.Outcome one = LoadSimulation.simulate(load, returns, seed);
      inTime += one.inTime() / SEEDS;
      late += one.late() / SEEDS;
      lost += one.lost() / SEEDS;
      refused += one.refused() / SEEDS;
    }
    return new LoadSimulation.Outcome(inTime, late, lost, refused);
  }

  @Test
  void afterAHeavyBurstMoreCallersAreInTimeThanWithShortRetryAfter() {
    LoadSimulation.Load heavy = load(STEEP, burst(150, 2.2));
    LoadSimulation.Outcome withShortTimes = mean(heavy, shortTimes());
    LoadSimulation.Outcome withPolicy = mean(heavy, policy());
    assertThat(withShortTimes.inTime()).isBetween(0.695, 0.715);
    assertThat(withPolicy.inTime()).isBetween(0.71, 0.73);
    assertThat(withPolicy.lost()).isZero();
  }

  @Test
  void underOtherLoadsThePolicyIsNoWorse() {
    assertNoLoss(load(STEEP, burst(170, 1.7)));
    assertNoLoss(load(STEEP, second -> 230));
    assertNoLoss(load(FLAT, burst(190, 2.2)));
  }

  private static void assertNoLoss(LoadSimulation.Load load) {
    double withShortTimes = mean(load, shortTimes()).inTime();
    assertThat(mean(load, policy()).inTime()).isGreaterThan(withShortTimes - 0.01);
  }

  @Test
  void spreadsCallersWithinTheWaitThatTheyAccept() {
    RetryAfterPolicy times = new RetryAfterPolicy();
    int first = times.nextMillis(6_000, 0);
    int second = times.nextMillis(6_000, 0);
    assertThat(first).isNotEqualTo(second);
    assertThat(first).isBetween(1_400, 1_900);
    assertThat(times.nextMillis(600, 0)).isBetween(140, 200);
    assertThat(times.nextMillis(-5, 0)).isZero();
  }

  @Test
  void callersReturnWhenTheFirstPauseEnds() {
    RetryAfterPolicy times = new RetryAfterPolicy();
    assertThat(times.nextMillis(6_000, 800)).isBetween(800, 1_275);
    assertThat(times.nextMillis(3_000, 940)).isBetween(940, 960);
  }

  /** Another daemon may still serve the caller, since the node may not have asked it to pause. */
  @Test
  void pauseLongerThanTheAcceptedWaitIsIgnored() {
    assertThat(new RetryAfterPolicy().nextMillis(3_000, 3_000)).isBetween(720, 960);
  }
}
