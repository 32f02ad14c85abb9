package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which of two places in the store's history is the later one. */
class StorePositionTest {

  private static StorePosition place(long era, long revision) {
    return new StorePosition(new StoreEra(era), revision);
  }

  @Test
  void withinAHistoryRevisionsTell() {
    assertThat(place(1, 8).isAfter(place(1, 7))).isTrue();
    assertThat(place(1, 7).isAfter(place(1, 7))).isFalse();
    assertThat(place(1, 7).isAfter(place(1, 8))).isFalse();
  }

  @Test
  void aLaterHistoryIsAfterAnEarlierOneWhateverItsRevisions() {
    assertThat(place(2, 1).isAfter(place(1, 900))).isTrue();
    assertThat(place(1, 900).isAfter(place(2, 1))).isFalse();
    assertThat(place(2, 1).isSameEra(place(1, 1))).isFalse();
  }

  @Test
  void anyPlaceIsAfterNone() {
    assertThat(place(0, 0).isAfter(StorePosition.NONE)).isTrue();
    assertThat(StorePosition.NONE.isAfter(place(0, 0))).isFalse();
    assertThat(StorePosition.NONE.isAfter(StorePosition.NONE)).isFalse();
    assertThat(StorePosition.NONE.isSameEra(StorePosition.NONE)).isFalse();
    assertThat(StorePosition.NONE.orLater(place(3, 4))).isEqualTo(place(3, 4));
  }
}
