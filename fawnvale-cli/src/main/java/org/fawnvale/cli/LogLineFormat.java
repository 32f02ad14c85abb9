package org.fawnvale.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats a log record as a JSON line: {@code {"t":"HH:mm:ss.SSS","level":..,"part":..,"msg":..}},
 * with the time in UTC. If the record has a throwable, {@code trace} holds its stack trace.
 */
final class LogLineFormat {

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int SECONDS_PER_MINUTE = 60;
  private static final int MINUTES_PER_HOUR = 60;
  private static final int HOURS_PER_DAY = 24;
  private static final char FIRST_PRINTABLE = ' ';

  private LogLineFormat() {}

  /** Appends a record as one JSON line, including the line break. */
  static void append(StringBuilder text, LogRecord line) {
    text.append("{\"t\":\"");
    appendTime(text, line.getMillis());
    text.append("\",\"level\":\"").append(level(line.getLevel())).append("\",\"part\":\"");
    appendEscaped(text, String.valueOf(line.getLoggerName()));
    text.append("\",\"msg\":\"");
    appendEscaped(text, String.valueOf(line.getMessage()));
    Throwable thrown = line.getThrown();
    if (thrown != null) {
      StringWriter trace = new StringWriter();
      thrown.printStackTrace(new PrintWriter(trace, true));
      text.append("\",\"trace\":\"");
      appendEscaped(text, trace.toString());
    }
    text.append("\"}\n");
  }

  /** Maps a JDK level to the name of the Log4j level. */
  private static String level(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return "WARN";
    }
    return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
  }

  private static void appendTime(StringBuilder text, long epochMillis) {
    long seconds = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
    long minutes = Math.floorDiv(seconds, SECONDS_PER_MINUTE);
    long hours = Math.floorDiv(minutes, MINUTES_PER_HOUR);
    appendPadded(text, Math.floorMod(hours, HOURS_PER_DAY), 2);
    text.append(':');
    appendPadded(text, Math.floorMod(minutes, MINUTES_PER_HOUR), 2);
    text.append(':');
    appendPadded(text, Math.floorMod(seconds, SECONDS_PER_MINUTE), 2);
    text.append('.');
    appendPadded(text, Math.floorMod(epochMillis, MILLIS_PER_SECOND), 3);
  }

  private static void appendPadded(StringBuilder text, int number, int digits) {
    String decimal = Integer.toString(number);
    text.append("0".repeat(digits - decimal.length())).append(decimal);
  }

  private static void appendEscaped(StringBuilder text, String value) {
    for (int index = 0; index < value.length(); index++) {
      char character = value.charAt(index);
      switch (character) {
        case '"' -> text.append("\\\"");
        case '\\' -> text.append("\\\\");
        case '\n' -> text.append("\\n");
        case '\r' -> text.append("\\r");
        case '\t' -> text.append("\\t");
        default -> appendCharacter(text, character);
      }
    }
  }

  private static void appendCharacter(StringBuilder text, char character) {
    if (character < FIRST_PRINTABLE) {
      String hex = Integer.toHexString(character);
      text.append("\\u").append("0".repeat(4 - hex.length())).append(hex);
    } else {
      text.append(character);
    }
  }
}
