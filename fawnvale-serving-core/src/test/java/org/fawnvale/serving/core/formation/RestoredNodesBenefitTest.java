package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Compares the same simulations, in which the store rolls back to copies, with leaders that retain
 * what they knew and with leaders that take the list as it is.
 */
class RestoredNodesBenefitTest {

  private static final int RUNS = 400;

  private static long servedSteps(boolean keepsKnownState) {
    long steps = 0;
    for (int seed = 1; seed <= RUNS; seed++) {
      FormationSimulation run =
          new FormationSimulation(new Random(seed), FormationSimulation.Terms.DISTINCT)
              .withRollbacks(seed, keepsKnownState);
      run.run();
      assertThat(run.nodes.violations).as("seed %d", seed).isEmpty();
      steps += run.servedSteps;
    }
    return steps;
  }

  @Test
  void moreGroupsServeWhenKnownStateIsRetained() {
    long withoutKnownState = servedSteps(false);
    long withKnownState = servedSteps(true);
    assertThat(withKnownState).as("served steps").isGreaterThan(withoutKnownState);
  }
}
