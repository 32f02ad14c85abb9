package org.fawnvale.http.core;

/** A line of a head or a trailer: a name, a colon and a value (RFC 9112, section 5). */
final class FieldLine {

  private FieldLine() {}

  /**
   * Checks a line.
   *
   * @param part what the line is a part of
   * @return the index of its colon
   * @throws MalformedMessageException if the name is no token, a blank precedes the colon, or the
   *     value holds a control character
   */
  static int check(MalformedMessageException.Part part, CharSequence line)
      throws MalformedMessageException {
    int colon = Characters.endOfToken(line, 0);
    if (colon == 0 || colon == line.length() || line.charAt(colon) != ':') {
      throw new MalformedMessageException(part, line, "a name, a colon and a value");
    }
    if (!Characters.areText(line, colon + 1)) {
      throw new MalformedMessageException(part, line, "a value without control characters");
    }
    return colon;
  }

  /** Returns whether a line has a name, without regard to case. */
  static boolean hasName(CharSequence line, int colon, String lowerCaseName) {
    if (colon != lowerCaseName.length()) {
      return false;
    }
    for (int index = 0; index < colon; index++) {
      char character = line.charAt(index);
      boolean isUpper = character >= 'A' && character <= 'Z';
      char lower = isUpper ? (char) (character - 'A' + 'a') : character;
      if (lower != lowerCaseName.charAt(index)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the value of a line without the blanks around it. */
  static String value(CharSequence line, int colon) {
    int begin = colon + 1;
    int end = line.length();
    while (begin < end && Characters.isBlank(line.charAt(begin))) {
      begin++;
    }
    while (end > begin && Characters.isBlank(line.charAt(end - 1))) {
      end--;
    }
    return line.subSequence(begin, end).toString();
  }
}
