package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A place comes out of its text as it went in. */
class StorePositionTextTest {

  @Test
  void whatIsWrittenIsRead() {
    StorePosition place = new StorePosition(new StoreEra(3), 120);
    assertThat(StorePositionText.read(StorePositionText.write(place))).isEqualTo(place);
    assertThat(StorePositionText.read(StorePositionText.write(StorePosition.NONE)))
        .isEqualTo(StorePosition.NONE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "12", "a.b", "3.", ".4"})
  void otherTextsAreRefused(String text) {
    assertThatThrownBy(() -> StorePositionText.read(text))
        .isInstanceOf(NumberFormatException.class);
  }
}
