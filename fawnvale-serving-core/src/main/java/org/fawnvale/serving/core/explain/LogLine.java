package org.fawnvale.serving.core.explain;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A line that a daemon has logged.
 *
 * @param time the time of day as text that sorts chronologically
 * @param daemon where the line was read: the file, and the text that precedes the line in it
 * @param component the component of the daemon that logged it
 * @param message its message, {@code key=value} pairs
 */
public record LogLine(String time, String daemon, String component, String message) {

  private static final Pattern KEY_VALUE =
      Pattern.compile("(?:^|\\s)([a-z_]+)=(.*?)(?=\\s+[a-z_]+=|$)", Pattern.DOTALL);

  /**
   * Returns the value of a key in the message. A value extends to the next key.
   *
   * @return the first value; null when the message has none
   */
  public @Nullable String value(String key) {
    Matcher pairs = KEY_VALUE.matcher(message);
    while (pairs.find()) {
      if (pairs.group(1).equals(key)) {
        return pairs.group(2);
      }
    }
    return null;
  }

  /**
   * Tells whether the message has the given value for a key.
   *
   * @param expected the value
   * @return true when it has
   */
  public boolean hasValue(String key, String expected) {
    return expected.equals(value(key));
  }
}
