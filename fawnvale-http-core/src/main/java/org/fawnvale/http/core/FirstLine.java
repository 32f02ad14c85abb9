package org.fawnvale.http.core;

/** The first lines of messages (RFC 9112, sections 3 and 4). */
final class FirstLine {

  private static final String VERSION = "HTTP/1.";
  private static final int VERSION_LENGTH = VERSION.length() + 1;
  private static final int STATUS_LENGTH = 3;
  private static final int STATUS_END = VERSION_LENGTH + 1 + STATUS_LENGTH;

  private FirstLine() {}

  /** Checks a first line; returns the last digit of its version. */
  @FunctionalInterface
  interface Check {
    int check(CharSequence line) throws MalformedMessageException;
  }

  /** Checks a status line; the blank behind the status may be missing if there is no reason. */
  static int ofAnswer(CharSequence line) throws MalformedMessageException {
    boolean isStatus =
        isVersion(line, 0)
            && line.length() >= STATUS_END
            && line.charAt(VERSION_LENGTH) == ' '
            && isStatus(line)
            && (line.length() == STATUS_END || line.charAt(STATUS_END) == ' ')
            && Characters.areText(line, STATUS_END);
    if (!isStatus) {
      throw new MalformedMessageException(
          MalformedMessageException.Part.FIRST_LINE, line, "HTTP/1.1, a status of 100 to 599");
    }
    return line.charAt(VERSION_LENGTH - 1) - '0';
  }

  private static boolean isStatus(CharSequence line) {
    char first = line.charAt(VERSION_LENGTH + 1);
    return first >= '1'
        && first <= '5'
        && Characters.isDigit(line.charAt(VERSION_LENGTH + 2))
        && Characters.isDigit(line.charAt(VERSION_LENGTH + STATUS_LENGTH));
  }

  /** Checks a request line; its target may hold any visible byte. */
  static int ofRequest(CharSequence line) throws MalformedMessageException {
    int target = Characters.endOfToken(line, 0) + 1;
    int version = line.length() - VERSION_LENGTH;
    boolean isRequest =
        target > 1
            && version > target + 1
            && line.charAt(target - 1) == ' '
            && line.charAt(version - 1) == ' '
            && isVersion(line, version)
            && isTarget(line, target, version - 1);
    if (!isRequest) {
      throw new MalformedMessageException(
          MalformedMessageException.Part.FIRST_LINE, line, "a method, a target and HTTP/1.1");
    }
    return line.charAt(line.length() - 1) - '0';
  }

  private static boolean isTarget(CharSequence line, int from, int end) {
    for (int index = from; index < end; index++) {
      char character = line.charAt(index);
      if (Characters.isBlank(character) || !Characters.isText(character)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isVersion(CharSequence line, int from) {
    if (line.length() < from + VERSION_LENGTH) {
      return false;
    }
    for (int index = 0; index < VERSION.length(); index++) {
      if (line.charAt(from + index) != VERSION.charAt(index)) {
        return false;
      }
    }
    return Characters.isDigit(line.charAt(from + VERSION.length()));
  }
}
