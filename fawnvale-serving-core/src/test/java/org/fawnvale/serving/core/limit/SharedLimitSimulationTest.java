package org.fawnvale.serving.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What a node that names a limit gets from all daemons together, by how they keep it. */
class SharedLimitSimulationTest {

  private static final int SEEDS = 5;
  private static final int[] FLEETS = {9, 78, 300};

  /** The goal within the promise: the limit itself, and two requests. */
  private static int goal(double limit) {
    return (int) (4 * limit) + 2;
  }

  private static int promise(double limit) {
    return (int) (1.5 * 4 * limit) + 5;
  }

  private static SharedLimitSimulation.Outcome worst(
      SharedLimitSimulation.Scenario load, SharedLimitSimulation.Strategy way) {
    int worst = 0;
    double used = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      SharedLimitSimulation.Outcome one = SharedLimitSimulation.run(load, way, seed);
      worst = Math.max(worst, one.worstWindow());
      used += one.used() / SEEDS;
    }
    return new SharedLimitSimulation.Outcome(worst, used);
  }

  @Test
  void theSumIsKeptAndUsedWhereCallersWait() {
    for (int daemons : FLEETS) {
      for (double limit : new double[] {0.5, 1.6, 10, 50}) {
        SharedLimitSimulation.Scenario load =
            SharedLimitSimulation.Scenario.steady(daemons, limit, 5 * limit);
        SharedLimitSimulation.Outcome outcome = worst(load, SharedLimitSimulation.Strategy.PERMITS);
        assertThat(outcome.worstWindow()).as("%s", load).isLessThanOrEqualTo(goal(limit));
        assertThat(outcome.used()).as("%s", load).isGreaterThan(0.9);
      }
    }
  }

  @Test
  void eachForItselfBreaksThePromise() {
    SharedLimitSimulation.Scenario load = SharedLimitSimulation.Scenario.steady(9, 1.6, 16);
    assertThat(worst(load, SharedLimitSimulation.Strategy.INDEPENDENT).worstWindow())
        .isGreaterThan(promise(1.6));
  }

  /** Shares of a daemon are so small that many save a request each and spend them together. */
  @Test
  void equalSharesGoTogetherAfterAPause() {
    SharedLimitSimulation.Scenario load = SharedLimitSimulation.Scenario.steady(78, 1.6, 8);
    SharedLimitSimulation.Outcome outcome =
        worst(load, SharedLimitSimulation.Strategy.EQUAL_SHARES);
    assertThat(outcome.worstWindow()).isGreaterThan(goal(1.6));
  }

  @Test
  void oneDaemonAloneLeavesMostOfTheLimitUnused() {
    SharedLimitSimulation.Scenario load = SharedLimitSimulation.Scenario.steady(78, 1.6, 8);
    assertThat(worst(load, SharedLimitSimulation.Strategy.OWNER_ONLY).used()).isLessThan(0.5);
  }

  /**
   * The daemon that spends the limit is killed; a third of the daemons is cut off for ten seconds.
   */
  @Test
  void theSumIsKeptWhileItsOwnerEndsAndDaemonsAreParted() {
    for (int daemons : FLEETS) {
      for (double limit : new double[] {0.5, 1.6, 10}) {
        SharedLimitSimulation.Scenario load =
            new SharedLimitSimulation.Scenario(daemons, limit, 5 * limit, 40, 8, 16, 10);
        SharedLimitSimulation.Outcome outcome = worst(load, SharedLimitSimulation.Strategy.PERMITS);
        assertThat(outcome.worstWindow()).as("%s", load).isLessThanOrEqualTo(promise(limit));
      }
    }
  }
}
