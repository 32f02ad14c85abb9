package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StorePositionTest {

  private static StorePosition position(long era, long revision) {
    return new StorePosition(new StoreEra(era), revision);
  }

  @Test
  void revisionsAreComparedWithinEra() {
    assertThat(position(1, 8).isAfter(position(1, 7))).isTrue();
    assertThat(position(1, 7).isAfter(position(1, 7))).isFalse();
    assertThat(position(1, 7).isAfter(position(1, 8))).isFalse();
  }

  @Test
  void laterEraIsAfterEarlierOneForAnyRevision() {
    assertThat(position(2, 1).isAfter(position(1, 900))).isTrue();
    assertThat(position(1, 900).isAfter(position(2, 1))).isFalse();
    assertThat(position(2, 1).isSameEra(position(1, 1))).isFalse();
  }

  @Test
  void knownPositionIsAfterNone() {
    assertThat(position(0, 0).isAfter(StorePosition.NONE)).isTrue();
    assertThat(StorePosition.NONE.isAfter(position(0, 0))).isFalse();
    assertThat(StorePosition.NONE.isAfter(StorePosition.NONE)).isFalse();
    assertThat(StorePosition.NONE.isSameEra(StorePosition.NONE)).isFalse();
    assertThat(StorePosition.NONE.orLater(position(3, 4))).isEqualTo(position(3, 4));
  }
}
