package org.fawnvale.json.core;

import java.util.Arrays;

/**
 * Finds where values of a JSON text end, by their strings and brackets alone. What stands between
 * these need not be JSON.
 */
final class JsonScanner {

  /** Told in place of an end that is not in the text. */
  static final int NO_END = -1;

  private static final int INITIAL_DEPTH = 64;

  private final byte[] text;

  JsonScanner(byte[] text) {
    this.text = text;
  }

  /** Returns the index of the first byte from an index on that is no white space. */
  int skipBlanks(int from) {
    int index = from;
    while (index < text.length && isBlank(text[index])) {
      index++;
    }
    return index;
  }

  private static boolean isBlank(byte character) {
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
  }

  /** Returns whether a character stands at an index. */
  boolean isAt(int index, char expected) {
    return index >= 0 && index < text.length && text[index] == expected;
  }

  /**
   * Returns the index behind a string.
   *
   * @param from the index of its first quote
   */
  int endOfString(int from) {
    for (int index = from + 1; index < text.length; index++) {
      if (text[index] == '\\') {
        index++;
      } else if (text[index] == '"') {
        return index + 1;
      }
    }
    return NO_END;
  }

  /**
   * Returns the index behind a value. A value that is neither a string nor in brackets ends before
   * the next comma or closing bracket.
   *
   * @param from the index of its first byte
   */
  int endOfValue(int from) {
    if (isAt(from, '"')) {
      return endOfString(from);
    }
    if (isAt(from, '{') || isAt(from, '[')) {
      return endOfBrackets(from);
    }
    int index = from;
    while (index < text.length && !isSeparator(text[index])) {
      index++;
    }
    return index < text.length ? index : NO_END;
  }

  private static boolean isSeparator(byte character) {
    return character == ',' || character == '}' || character == ']';
  }

  private int endOfBrackets(int from) {
    Brackets open = new Brackets();
    int index = from;
    while (index >= 0 && index < text.length) {
      byte character = text[index];
      if (character == '"') {
        index = endOfString(index);
        continue;
      }
      if (!open.read(character)) {
        return NO_END;
      }
      index++;
      if (open.depth == 0) {
        return index;
      }
    }
    return NO_END;
  }

  /** The brackets that are open at a place of a text. */
  private static final class Brackets {
    private byte[] closing = new byte[INITIAL_DEPTH];
    private int depth;

    /** Reads a character; returns false if it closes a bracket of the other kind. */
    boolean read(byte character) {
      if (character == '{') {
        open('}');
      } else if (character == '[') {
        open(']');
      } else if (character == '}' || character == ']') {
        depth--;
        return closing[depth] == character;
      }
      return true;
    }

    private void open(char end) {
      closing = depth == closing.length ? Arrays.copyOf(closing, 2 * depth) : closing;
      closing[depth] = (byte) end;
      depth++;
    }
  }
}
