package org.fawnvale.http.core;

/** The classes of characters of HTTP (RFC 9110, section 5.6); a character is a received byte. */
final class Characters {

  private static final int LAST_ASCII = 0x7e;
  private static final int FIRST_OPAQUE = 0x80;
  private static final int BYTES = 0x100;
  private static final boolean[] TOKEN = new boolean[BYTES];

  static {
    for (char character = '0'; character <= '9'; character++) {
      TOKEN[character] = true;
    }
    for (char character = 'a'; character <= 'z'; character++) {
      TOKEN[character] = true;
      TOKEN[Character.toUpperCase(character)] = true;
    }
    for (char character : "!#$%&'*+-.^_`|~".toCharArray()) {
      TOKEN[character] = true;
    }
  }

  private Characters() {}

  /** Returns whether a character may stand in a token: the name of a field, or a method. */
  static boolean isToken(char character) {
    return character < BYTES && TOKEN[character];
  }

  /** Returns whether a character is a visible one of ASCII, or a blank. */
  static boolean isVisibleAscii(char character) {
    return character >= ' ' && character <= LAST_ASCII;
  }

  /** Returns whether a character may stand in a value or a reason: any but control characters. */
  static boolean isText(char character) {
    return isVisibleAscii(character) || character >= FIRST_OPAQUE || character == '\t';
  }

  /** Returns whether a character is a blank or a tab. */
  static boolean isBlank(char character) {
    return character == ' ' || character == '\t';
  }

  static boolean isDigit(char character) {
    return character >= '0' && character <= '9';
  }

  static boolean isHexadecimal(char character) {
    return Character.digit(character, 16) >= 0 && character < FIRST_OPAQUE;
  }

  /** Returns whether all characters of a part of a line are text. */
  static boolean areText(CharSequence line, int from) {
    for (int index = from; index < line.length(); index++) {
      if (!isText(line.charAt(index))) {
        return false;
      }
    }
    return true;
  }

  /** Returns the index of the first character from an index on that is no part of a token. */
  static int endOfToken(CharSequence line, int from) {
    int index = from;
    while (index < line.length() && isToken(line.charAt(index))) {
      index++;
    }
    return index;
  }
}
