package org.fawnvale.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * How a line of the log is written: {@code {"t":"HH:mm:ss.SSS","level":..,"part":..,"msg":..}}, the
 * time in UTC. A failure adds its stack trace as {@code trace}.
 */
final class LogLineFormat {

  private static final int MILLIS_A_SECOND = 1_000;
  private static final int SECONDS_A_MINUTE = 60;
  private static final int MINUTES_AN_HOUR = 60;
  private static final int HOURS_A_DAY = 24;
  private static final char FIRST_PRINTABLE = ' ';

  private LogLineFormat() {}

  /**
   * Writes a line.
   *
   * @param text where to
   * @param line the line
   */
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

  /** The JDK's levels by the names that Log4j gives them. */
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
    long seconds = Math.floorDiv(epochMillis, MILLIS_A_SECOND);
    long minutes = Math.floorDiv(seconds, SECONDS_A_MINUTE);
    long hours = Math.floorDiv(minutes, MINUTES_AN_HOUR);
    appendPadded(text, Math.floorMod(hours, HOURS_A_DAY), 2);
    text.append(':');
    appendPadded(text, Math.floorMod(minutes, MINUTES_AN_HOUR), 2);
    text.append(':');
    appendPadded(text, Math.floorMod(seconds, SECONDS_A_MINUTE), 2);
    text.append('.');
    appendPadded(text, Math.floorMod(epochMillis, MILLIS_A_SECOND), 3);
  }

  private static void appendPadded(StringBuilder text, int number, int digits) {
    String written = Integer.toString(number);
    text.append("0".repeat(digits - written.length())).append(written);
  }

  private static void appendEscaped(StringBuilder text, String value) {
    for (int index = 0; index < value.length(); index++) {
      char sign = value.charAt(index);
      switch (sign) {
        case '"' -> text.append("\\\"");
        case '\\' -> text.append("\\\\");
        case '\n' -> text.append("\\n");
        case '\r' -> text.append("\\r");
        case '\t' -> text.append("\\t");
        default -> appendPlain(text, sign);
      }
    }
  }

  private static void appendPlain(StringBuilder text, char sign) {
    if (sign < FIRST_PRINTABLE) {
      String hex = Integer.toHexString(sign);
      text.append("\\u").append("0".repeat(4 - hex.length())).append(hex);
    } else {
      text.append(sign);
    }
  }
}
