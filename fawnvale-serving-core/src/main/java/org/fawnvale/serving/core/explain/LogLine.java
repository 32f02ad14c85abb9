package org.fawnvale.serving.core.explain;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * One line that a daemon has logged.
 *
 * @param time the time of day that it gives, as text that sorts by time
 * @param daemon where it was read: the file, and what stood before the line in it
 * @param component the part of the daemon that wrote it
 * @param message its message, {@code key=value} pairs
 */
public record LogLine(String time, String daemon, String component, String message) {

  private static final Pattern PAIR =
      Pattern.compile("(?:^|\\s)([a-z_]+)=(.*?)(?=\\s+[a-z_]+=|$)", Pattern.DOTALL);

  /**
   * Reads one of the message's values.
   *
   * @param key the key
   * @return the value; null when the message has none
   */
  public @Nullable String value(String key) {
    Matcher pairs = PAIR.matcher(message);
    while (pairs.find()) {
      if (pairs.group(1).equals(key)) {
        return pairs.group(2);
      }
    }
    return null;
  }

  /**
   * Tells whether a value of the message is the given one.
   *
   * @param key the key
   * @param wanted the value
   * @return true when it is
   */
  public boolean hasValue(String key, String wanted) {
    return wanted.equals(value(key));
  }
}
