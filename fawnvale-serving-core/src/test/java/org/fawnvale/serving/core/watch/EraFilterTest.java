package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EraFilterTest {

  private static final long SECOND = 1_000_000_000L;
  private static final StorePosition CURRENT = new StorePosition(new StoreEra(4), 120);

  private final EraFilter filter = new EraFilter();

  private EraFilter.Action changes(long era, long atNanos) {
    return filter.evaluate(new StoreEra(era), CURRENT, CURRENT, atNanos);
  }

  private EraFilter.Action list(long era, long atNanos) {
    return filter.evaluate(new StoreEra(era), CURRENT, StorePosition.NONE, atNanos);
  }

  @Test
  void responseOfSameEraIsApplied() {
    assertThat(changes(4, 0)).isEqualTo(EraFilter.Action.APPLY);
    assertThat(list(4, 0)).isEqualTo(EraFilter.Action.APPLY);
  }

  @Test
  void firstResponseIsAppliedInAnyEra() {
    assertThat(filter.evaluate(new StoreEra(9), StorePosition.NONE, StorePosition.NONE, 0))
        .isEqualTo(EraFilter.Action.APPLY);
  }

  @Test
  void changesOfLaterEraCauseRelist() {
    assertThat(changes(5, 0)).isEqualTo(EraFilter.Action.RELIST);
    assertThat(list(5, 0)).isEqualTo(EraFilter.Action.APPLY);
    assertThat(list(7, 0)).isEqualTo(EraFilter.Action.APPLY);
  }

  /** The local copy was replaced by that of a peer after the request was sent. */
  @Test
  void changesSincePositionOfEarlierEraCauseRelist() {
    StorePosition requested = new StorePosition(new StoreEra(3), 130);
    assertThat(filter.evaluate(new StoreEra(4), CURRENT, requested, 0))
        .isEqualTo(EraFilter.Action.RELIST);
  }

  @Test
  void responseOfEarlierEraIsDiscarded() {
    assertThat(list(3, 0)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(3, SECOND)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(0, 2 * SECOND)).isEqualTo(EraFilter.Action.DISCARD);
  }

  @Test
  void earlierEraAppliesAfterTimeout() {
    assertThat(list(3, 0)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(list(3, 4 * SECOND)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(3, 5 * SECOND)).isEqualTo(EraFilter.Action.RELIST);
    assertThat(list(3, 5 * SECOND)).isEqualTo(EraFilter.Action.APPLY);
  }

  @Test
  void responseOfCurrentEraRestartsTimeout() {
    assertThat(list(3, 0)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(4, 4 * SECOND)).isEqualTo(EraFilter.Action.APPLY);
    assertThat(list(3, 6 * SECOND)).isEqualTo(EraFilter.Action.DISCARD);
  }
}
