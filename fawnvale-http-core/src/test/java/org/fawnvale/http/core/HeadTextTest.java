package org.fawnvale.http.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against names that reach others as question marks, or as lines of their own. */
class HeadTextTest {

  @Test
  void textBecomesItsBytesInUtf8() {
    assertThat(HeadText.utf8("Gr\u00f6\u00dfe \u68da"))
        .isEqualTo("Gr\u00c3\u00b6\u00c3\u009fe \u00e6\u00a3\u009a");
    assertThat(HeadText.utf8("garden")).isEqualTo("garden");
  }

  @ParameterizedTest
  @ValueSource(strings = {"a\r\nX: 1", "a\n", "\u0000", "\u007f", "\u001b"})
  void textWithAControlCharacterIsNotWritten(String text) {
    assertThat(HeadText.isWritable(text)).isFalse();
  }
}
