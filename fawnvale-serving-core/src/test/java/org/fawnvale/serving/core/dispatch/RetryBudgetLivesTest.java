package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.DoublePredicate;
import org.junit.jupiter.api.Test;

/** Guards against retries beyond ratio and slack, summed over all lives of all daemons. */
class RetryBudgetLivesTest {

  private static final int DAEMONS = 7;
  private static final double RATIO = 0.2;
  private static final double SLACK = 132;
  private static final double WINDOW_SECONDS = 10;
  private static final double DAY_SECONDS = 60;
  private static final int REQUESTS_PER_SECOND = 160;
  private static final int SEEDS = 200;

  /** The share of requests that fail at sound upstreams. */
  private static final double FEW_FAIL = 0.04;

  private static final double START_SECONDS = 2;

  /** A fleet whose daemons receive requests evenly and retry each failed one once, if they may. */
  private static final class Fleet {
    private final RetryBudget[] budgets = new RetryBudget[DAEMONS];
    private final List<Double> requests = new ArrayList<>();
    private final List<Double> retries = new ArrayList<>();
    private final List<Double> refused = new ArrayList<>();
    private final Random random;
    private final int counted;

    Fleet(long seed) {
      this(seed, DAEMONS);
    }

    Fleet(long seed, int countedDaemons) {
      random = new Random(seed);
      counted = countedDaemons;
      restartAll(0);
    }

    void restart(int daemon, double at) {
      budgets[daemon] = new RetryBudget(RATIO, SLACK, nanos(WINDOW_SECONDS), nanos(at));
    }

    void restartAll(double at) {
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        restart(daemon, at);
      }
    }

    /** Lets requests arrive in a span of seconds, which fail with a probability. */
    void serve(double from, double to, double failing) {
      for (double at = from; at < to; at += 1.0 / REQUESTS_PER_SECOND) {
        RetryBudget budget = budgets[random.nextInt(DAEMONS)];
        requests.add(at);
        budget.recordRequest(counted, nanos(at));
        if (random.nextDouble() >= failing) {
          continue;
        }
        if (budget.tryTake(counted, nanos(at))) {
          retries.add(at);
        } else {
          refused.add(at);
        }
      }
    }

    /** Returns by how much the retries of the worst window exceed what is allowed. */
    double worstExcess() {
      double[] sent = sorted(retries);
      double[] received = sorted(requests);
      double worst = Double.NEGATIVE_INFINITY;
      for (double from : sent) {
        double allowed = RATIO * requestsFor(received, from) + SLACK;
        worst = Math.max(worst, count(sent, from, from + WINDOW_SECONDS) - allowed);
      }
      return worst;
    }

    double refusedFrom(double from) {
      return count(sorted(refused), from, DAY_SECONDS);
    }

    /** The requests of the window, the one before, or half a window before: the most of these. */
    private static int requestsFor(double[] received, double from) {
      double half = WINDOW_SECONDS / 2;
      return Math.max(
          count(received, from, from + WINDOW_SECONDS),
          Math.max(
              count(received, from - WINDOW_SECONDS, from),
              count(received, from - half, from + half)));
    }

    private static double[] sorted(List<Double> times) {
      return times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    private static int count(double[] times, double from, double to) {
      return before(times, to) - before(times, from);
    }

    private static int before(double[] times, double until) {
      int found = Arrays.binarySearch(times, until);
      return found < 0 ? -found - 1 : found;
    }
  }

  private static long nanos(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  @Test
  void daemonsKilledAtOnceWhileUpstreamsFailRetryWithinRatioAndSlack() {
    Fleet fleet = new Fleet(1);
    fleet.serve(0, 20, 0);
    fleet.serve(20, 25, 0.85);
    fleet.restartAll(25);
    fleet.serve(26, 40, 0.85);
    assertThat(fleet.worstExcess()).isLessThanOrEqualTo(0);
  }

  @Test
  void anySeriesOfKillsLeavesRetriesWithinRatioAndSlack() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      assertThat(randomDay(seed, DAEMONS).worstExcess()).as("seed %d", seed).isLessThanOrEqualTo(0);
    }
  }

  @Test
  void soundFleetRefusesNoRetryWithoutARestart() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Fleet fleet = new Fleet(seed);
      fleet.serve(0, DAY_SECONDS, FEW_FAIL);
      assertThat(fleet.refusedFrom(START_SECONDS)).as("seed %d", seed).isZero();
    }
  }

  @Test
  void soundFleetRefusesNoRetryOneSecondAfterARestartOfAll() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Fleet fleet = new Fleet(seed);
      fleet.serve(0, 30, FEW_FAIL);
      fleet.restartAll(30);
      fleet.serve(30, DAY_SECONDS, FEW_FAIL);
      assertThat(fleet.refusedFrom(30 + START_SECONDS)).as("seed %d", seed).isZero();
    }
  }

  @Test
  void daemonThatLearnsTheFleetLateMayRetryAsIfItHadKnownIt() {
    RetryBudget known = new RetryBudget(RATIO, SLACK, nanos(WINDOW_SECONDS), 0);
    RetryBudget late = new RetryBudget(RATIO, SLACK, nanos(WINDOW_SECONDS), 0);
    assertThat(known.left(DAEMONS, nanos(1))).isPositive();
    assertThat(late.left(0, nanos(1))).isZero();
    assertThat(late.left(DAEMONS, nanos(2))).isEqualTo(known.left(DAEMONS, nanos(2)));
  }

  @Test
  void daemonThatDoesNotKnowTheFleetHoldsNothingOfTheSlack() {
    RetryBudget budget = new RetryBudget(RATIO, SLACK, nanos(WINDOW_SECONDS), 0);
    assertThat(budget.left(0, nanos(DAY_SECONDS))).isZero();
  }

  @Test
  void daemonWithFewRequestsThatDoesNotKnowTheFleetMayStillRetry() {
    RetryBudget budget = new RetryBudget(RATIO, SLACK, nanos(WINDOW_SECONDS), 0);
    for (double at = 0; at < WINDOW_SECONDS; at += 0.5) {
      budget.recordRequest(0, nanos(at));
    }
    assertThat(budget.tryTake(0, nanos(WINDOW_SECONDS))).isTrue();
  }

  @Test
  void anySeriesOfKillsOfDaemonsThatDoNotKnowTheFleetLeavesRetriesWithinTheRatio() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      assertThat(randomDay(seed, 0).worstExcess()).as("seed %d", seed).isLessThanOrEqualTo(-SLACK);
    }
  }

  /** A day on which daemons are killed alone or together, and upstreams fail at times. */
  private static Fleet randomDay(int seed, int countedDaemons) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet(seed, countedDaemons);
    double killsPerSecond = 0.2 + 2 * random.nextDouble();
    DoublePredicate happens = perSecond -> random.nextDouble() < perSecond / 10;
    double failing = 0;
    for (double at = 0; at < DAY_SECONDS; at += 0.1) {
      if (happens.test(0.3)) {
        failing = random.nextBoolean() ? 0 : random.nextDouble();
      }
      if (happens.test(killsPerSecond)) {
        fleet.restart(random.nextInt(DAEMONS), at);
      }
      if (happens.test(0.2)) {
        fleet.restartAll(at);
      }
      fleet.serve(at, at + 0.1, failing);
    }
    return fleet;
  }
}
