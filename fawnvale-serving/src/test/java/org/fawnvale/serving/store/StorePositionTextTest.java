package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Round trips and rejected inputs of the text form of store positions. */
class StorePositionTextTest {

  @Test
  void readsWhatWasWritten() {
    StorePosition position = new StorePosition(new StoreEra(3), 120);
    assertThat(StorePositionText.read(StorePositionText.write(position))).isEqualTo(position);
    assertThat(StorePositionText.read(StorePositionText.write(StorePosition.NONE)))
        .isEqualTo(StorePosition.NONE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "12", "a.b", "3.", ".4"})
  void rejectsInvalidText(String text) {
    assertThatThrownBy(() -> StorePositionText.read(text))
        .isInstanceOf(NumberFormatException.class);
  }
}
