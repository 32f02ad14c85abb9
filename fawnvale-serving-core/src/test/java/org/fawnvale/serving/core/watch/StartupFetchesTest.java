package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** When a starting daemon fetches a newer copy from a peer. */
class StartupFetchesTest {

  private static final long STEP = StartupPeriod.ANSWER_NANOS;
  private static final StorePosition OLD = new StorePosition(new StoreEra(1), 5);

  /** Guards against a second transfer of what the store delivers, and against one lost fetch. */
  @Test
  void fetchesWhenTheStoreHasNotDeliveredInTime() {
    StartupFetches fetches = new StartupFetches(new StartupPeriod(0));
    assertThat(fetches.isDue(StorePosition.NONE, 0)).isFalse();
    assertThat(fetches.isDue(StorePosition.NONE, STEP - 1)).isFalse();
    assertThat(fetches.isDue(StorePosition.NONE, STEP)).isTrue();
    assertThat(fetches.isDue(StorePosition.NONE, STEP + 1)).isFalse();
    assertThat(fetches.isDue(StorePosition.NONE, 2 * STEP)).isTrue();
    assertThat(fetches.isDue(OLD, 3 * STEP)).isFalse();
  }

  /** Guards against other fetches by daemons that run. */
  @Test
  void fetchesNothingAfterTheStart() {
    StartupFetches fetches = new StartupFetches(StartupPeriod.NONE);
    assertThat(fetches.isDue(OLD, 0)).isFalse();
    assertThat(fetches.isDue(OLD, STEP)).isFalse();
  }
}
