package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Lines of an entry daemon's log: JSON, bounded, and none is waited for. */
class LogLinesTest {

  private static LogRecord line(Level level, String message) {
    LogRecord line = new LogRecord(level, message);
    line.setLoggerName("store");
    line.setInstant(Instant.parse("2026-03-04T05:06:07.089Z"));
    return line;
  }

  private static String written(LogRecord line) {
    StringBuilder text = new StringBuilder();
    LogLineFormat.append(text, line);
    return text.toString();
  }

  @Test
  void aLineIsJsonWithTimeLevelPartAndMessage() {
    assertThat(written(line(Level.WARNING, "kind=NODES outcome=store_lost")))
        .isEqualTo(
            "{\"t\":\"05:06:07.089\",\"level\":\"WARN\",\"part\":\"store\","
                + "\"msg\":\"kind=NODES outcome=store_lost\"}\n");
  }

  @Test
  void whatCallersSendCannotBreakALine() throws IOException {
    String nasty = "a\"b\\c\nd\te\u0001f\u00e9";
    String text = written(line(Level.INFO, nasty));
    assertThat(text.indexOf('\n')).isEqualTo(text.length() - 1);
    JsonNode json = new ObjectMapper().readTree(text);
    assertThat(json.path("msg").asText()).isEqualTo(nasty);
  }

  @Test
  void aFailureTellsItsStackTrace() throws IOException {
    LogRecord line = line(Level.SEVERE, "A timed task failed.");
    line.setThrown(new IllegalStateException("for a test"));
    JsonNode json = new ObjectMapper().readTree(written(line));
    assertThat(json.path("level").asText()).isEqualTo("ERROR");
    assertThat(json.path("trace").asText())
        .contains("IllegalStateException: for a test")
        .contains("aFailureTellsItsStackTrace");
  }

  @Test
  void linesThatFindTheQueueFullAreDroppedAndCounted() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LogLines lines = new LogLines(new PrintStream(out, true, StandardCharsets.UTF_8), 3);
    for (int number = 0; number < 5; number++) {
      lines.publish(line(Level.INFO, "number=" + number));
    }
    lines.flush();
    assertThat(out.toString(StandardCharsets.UTF_8).lines())
        .hasSize(4)
        .anyMatch(text -> text.contains("number=2"))
        .anyMatch(text -> text.contains("lines=2 outcome=dropped"))
        .noneMatch(text -> text.contains("number=3"));
  }

  @Test
  void theLastLinesAreWrittenAtTheEnd() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LogLines lines = new LogLines(new PrintStream(out, true, StandardCharsets.UTF_8), 100);
    lines.start();
    for (int number = 0; number < 50; number++) {
      lines.publish(line(Level.INFO, "number=" + number));
    }
    lines.close();
    assertThat(out.toString(StandardCharsets.UTF_8).lines()).hasSize(50);
  }
}
