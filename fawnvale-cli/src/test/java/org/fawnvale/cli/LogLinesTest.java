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

/** Guards against malformed JSON log lines, unbounded queueing and lines lost at shutdown. */
class LogLinesTest {

  private static LogRecord logRecord(Level level, String message) {
    LogRecord logRecord = new LogRecord(level, message);
    logRecord.setLoggerName("store");
    logRecord.setInstant(Instant.parse("2026-03-04T05:06:07.089Z"));
    return logRecord;
  }

  private static String format(LogRecord logRecord) {
    StringBuilder text = new StringBuilder();
    LogLineFormat.append(text, logRecord);
    return text.toString();
  }

  @Test
  void formatsRecordAsJsonLine() {
    assertThat(format(logRecord(Level.WARNING, "kind=NODES outcome=store_lost")))
        .isEqualTo(
            "{\"t\":\"05:06:07.089\",\"level\":\"WARN\",\"part\":\"store\","
                + "\"msg\":\"kind=NODES outcome=store_lost\"}\n");
  }

  @Test
  void escapesControlAndQuoteCharacters() throws IOException {
    String special = "a\"b\\c\nd\te\u0001f\u00e9";
    String text = format(logRecord(Level.INFO, special));
    assertThat(text.indexOf('\n')).isEqualTo(text.length() - 1);
    JsonNode json = new ObjectMapper().readTree(text);
    assertThat(json.path("msg").asText()).isEqualTo(special);
  }

  @Test
  void aFailureTellsItsStackTrace() throws IOException {
    LogRecord logRecord = logRecord(Level.SEVERE, "A timed task failed.");
    logRecord.setThrown(new IllegalStateException("for a test"));
    JsonNode json = new ObjectMapper().readTree(format(logRecord));
    assertThat(json.path("level").asText()).isEqualTo("ERROR");
    assertThat(json.path("trace").asText())
        .contains("IllegalStateException: for a test")
        .contains("aFailureTellsItsStackTrace");
  }

  @Test
  void dropsAndCountsLinesWhenQueueIsFull() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LogLines lines = new LogLines(new PrintStream(out, true, StandardCharsets.UTF_8), 3, 3);
    for (int number = 0; number < 5; number++) {
      lines.publish(logRecord(Level.INFO, "number=" + number));
    }
    lines.flush();
    assertThat(out.toString(StandardCharsets.UTF_8).lines())
        .hasSize(4)
        .anyMatch(text -> text.contains("number=2"))
        .anyMatch(text -> text.contains("lines=2 outcome=dropped"))
        .noneMatch(text -> text.contains("number=3"));
  }

  @Test
  void closeWritesQueuedLines() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LogLines lines = new LogLines(new PrintStream(out, true, StandardCharsets.UTF_8), 100, 100);
    lines.start();
    for (int number = 0; number < 50; number++) {
      lines.publish(logRecord(Level.INFO, "number=" + number));
    }
    lines.close();
    assertThat(out.toString(StandardCharsets.UTF_8).lines()).hasSize(50);
  }
}
