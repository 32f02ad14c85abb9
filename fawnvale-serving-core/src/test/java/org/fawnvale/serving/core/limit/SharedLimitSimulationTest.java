package org.fawnvale.serving.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against daemons that together exceed a node's limit, or leave much of it unused. */
class SharedLimitSimulationTest {

  private static final int SEEDS = 5;
  private static final int[] FLEETS = {9, 78, 300};

  /** The limit and a burst of two requests. This is stricter than the promised bound. */
  private static int goal(double limit) {
    return (int) (4 * limit) + 2;
  }

  private static int promisedBound(double limit) {
    return (int) (1.5 * 4 * limit) + 5;
  }

  private static SharedLimitSimulation.Outcome worst(
      SharedLimitSimulation.Scenario scenario, SharedLimitSimulation.Strategy strategy) {
    int worst = 0;
    double used = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      SharedLimitSimulation.Outcome outcome = SharedLimitSimulation.run(scenario, strategy, seed);
      worst = Math.max(worst, outcome.worstWindow());
      used += outcome.used() / SEEDS;
    }
    return new SharedLimitSimulation.Outcome(worst, used);
  }

  @Test
  void daemonsTogetherKeepAndUseTheLimit() {
    for (int daemons : FLEETS) {
      for (double limit : new double[] {0.5, 1.6, 10, 50}) {
        SharedLimitSimulation.Scenario scenario =
            SharedLimitSimulation.Scenario.steady(daemons, limit, 5 * limit);
        SharedLimitSimulation.Outcome outcome =
            worst(scenario, SharedLimitSimulation.Strategy.PERMITS);
        assertThat(outcome.worstWindow()).as("%s", scenario).isLessThanOrEqualTo(goal(limit));
        assertThat(outcome.used()).as("%s", scenario).isGreaterThan(0.9);
      }
    }
  }

  @Test
  void independentLimitsExceedThePromisedBound() {
    SharedLimitSimulation.Scenario scenario = SharedLimitSimulation.Scenario.steady(9, 1.6, 16);
    assertThat(worst(scenario, SharedLimitSimulation.Strategy.INDEPENDENT).worstWindow())
        .isGreaterThan(promisedBound(1.6));
  }

  /** With small shares many daemons accumulate one token each and use them at the same time. */
  @Test
  void equalSharesExceedTheGoal() {
    SharedLimitSimulation.Scenario scenario = SharedLimitSimulation.Scenario.steady(78, 1.6, 8);
    SharedLimitSimulation.Outcome outcome =
        worst(scenario, SharedLimitSimulation.Strategy.EQUAL_SHARES);
    assertThat(outcome.worstWindow()).isGreaterThan(goal(1.6));
  }

  @Test
  void ownerAloneLeavesMostOfTheLimitUnused() {
    SharedLimitSimulation.Scenario scenario = SharedLimitSimulation.Scenario.steady(78, 1.6, 8);
    assertThat(worst(scenario, SharedLimitSimulation.Strategy.OWNER_ONLY).used()).isLessThan(0.5);
  }

  /**
   * The owner of the limit is killed; later a third of the daemons is partitioned for ten seconds.
   */
  @Test
  void limitHoldsWhenOwnerDiesAndDuringPartition() {
    for (int daemons : FLEETS) {
      for (double limit : new double[] {0.5, 1.6, 10}) {
        SharedLimitSimulation.Scenario scenario =
            new SharedLimitSimulation.Scenario(daemons, limit, 5 * limit, 40, 8, 16, 10);
        SharedLimitSimulation.Outcome outcome =
            worst(scenario, SharedLimitSimulation.Strategy.PERMITS);
        assertThat(outcome.worstWindow())
            .as("%s", scenario)
            .isLessThanOrEqualTo(promisedBound(limit));
      }
    }
  }

  /**
   * Guards against a cold node that falls over: a whole data centre comes back cold with ten
   * callers for each slot, the owner of a node is killed, and a third of the daemons is partitioned
   * from the others.
   */
  @Test
  void coldNodesReceiveNoMoreThanTheyBear() {
    for (int daemons : new int[] {9, 83, 300}) {
      for (boolean startsTogether : new boolean[] {false, true}) {
        SharedLimitSimulation.Scenario scenario =
            SharedLimitSimulation.Scenario.coldDataCentre(daemons, 8, 5, 10, startsTogether);
        SharedLimitSimulation.Outcome outcome =
            worst(scenario, SharedLimitSimulation.Strategy.PERMITS);
        assertThat(outcome.worstWindow()).as("%s", scenario).isLessThanOrEqualTo(27);
        assertThat(outcome.used()).as("%s", scenario).isGreaterThan(0.5);
      }
    }
  }
}
