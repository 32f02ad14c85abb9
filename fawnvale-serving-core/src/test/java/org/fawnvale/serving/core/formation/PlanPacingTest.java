package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/** The leader plans when something has changed, and otherwise at the maximal interval. */
class PlanPacingTest {

  private static final long MILLI = 1_000_000L;
  private static final long TICK = 50 * MILLI;

  private final PlanPacing pacing = new PlanPacing();

  private static StorePosition at(long revision) {
    return new StorePosition(StoreEra.UNKNOWN, revision);
  }

  private int plans(int ticks, boolean busy) {
    int plans = 0;
    for (int tick = 1; tick <= ticks; tick++) {
      plans += pacing.isDue(at(7), busy, tick * TICK) ? 1 : 0;
    }
    return plans;
  }

  @Test
  void oneTickInFourPlansWhileNothingChanges() {
    assertThat(plans(100, false)).isBetween(25, 26);
  }

  @Test
  void everyTickPlansWhileGroupsAreBeingFormed() {
    assertThat(plans(100, true)).isEqualTo(100);
  }

  @Test
  void theNextTickPlansAfterAChangedListOrAnAnswer() {
    pacing.isDue(at(7), false, 0);
    assertThat(pacing.isDue(at(7), false, TICK)).isFalse();
    assertThat(pacing.isDue(at(8), false, 2 * TICK)).isTrue();
    assertThat(pacing.isDue(at(8), false, 3 * TICK)).isFalse();
    pacing.answered();
    assertThat(pacing.isDue(at(8), false, 4 * TICK)).isTrue();
    assertThat(pacing.isDue(at(8), false, 5 * TICK)).isFalse();
  }
}
