package org.fawnvale.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.fawnvale.upstream.CopyResult;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that are cut and that an error event behind them makes look whole. */
class StreamCopierTest {

  private static final String BEGIN = "data: {\"n\":1}\n\n";

  @ParameterizedTest
  @ValueSource(
      strings = {"d", "data: {\"n\":", "data: {\"n\":2}", "data: {\"n\":2}\n", "data: a\r", ":"})
  void partOfAnEventIsNotEnded(String part) {
    assertThat(copyBrokenOffBehind(BEGIN + part)).isEqualTo(BEGIN + part);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "\n", "data: 2\n\n", "data: 2\r\n\r\n", "data: 2\r\r", ": note\n\n"})
  void errorEventFollowsWholeEvents(String events) {
    assertThat(copyBrokenOffBehind(BEGIN + events))
        .startsWith(BEGIN + events + "event: error\ndata: {")
        .endsWith("}\n\n");
  }

  /** Copies a stream that breaks off, once in one piece and once byte by byte. */
  private static String copyBrokenOffBehind(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    StreamCopier.copy(
        out -> {
          writeQuietly(out, bytes, 0, bytes.length);
          return new CopyResult.Torn(bytes.length, "the test ends it");
        },
        whole);
    ByteArrayOutputStream pieces = new ByteArrayOutputStream();
    StreamCopier.copy(
        out -> {
          for (int i = 0; i < bytes.length; i++) {
            writeQuietly(out, bytes, i, 1);
          }
          return new CopyResult.Torn(bytes.length, "the test ends it");
        },
        pieces);
    assertThat(pieces.toByteArray()).isEqualTo(whole.toByteArray());
    return whole.toString(StandardCharsets.UTF_8);
  }

  private static void writeQuietly(OutputStream out, byte[] bytes, int from, int length) {
    try {
      out.write(bytes, from, length);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
