package org.fawnvale.http.core;

import org.jspecify.annotations.Nullable;

/**
 * The fields of a head that say where its body ends (RFC 9112, section 6). A reader that takes them
 * in another way than their sender gives one message the bytes of another; so there is one way, and
 * anything else is an error.
 */
final class Framing {

  private static final String LENGTH = "content-length";
  private static final String CODING = "transfer-encoding";
  private static final String CHUNKED = "chunked";
  private static final int MAX_LENGTH_DIGITS = 18;

  private @Nullable String length;
  private @Nullable String coding;

  void reset() {
    length = null;
    coding = null;
  }

  /**
   * Reads a line of the head.
   *
   * @return whether the line is one of the fields
   * @throws MalformedMessageException if a field comes twice or its value is not plain
   */
  boolean read(CharSequence line, int colon) throws MalformedMessageException {
    if (FieldLine.hasName(line, colon, LENGTH)) {
      requireFirst(length, line);
      length = FieldLine.value(line, colon);
      requireLength(length, line);
      return true;
    }
    if (FieldLine.hasName(line, colon, CODING)) {
      requireFirst(coding, line);
      coding = FieldLine.value(line, colon);
      if (!CHUNKED.equalsIgnoreCase(coding)) {
        throw invalid(line, "chunked");
      }
      return true;
    }
    return false;
  }

  private static void requireFirst(@Nullable String known, CharSequence line)
      throws MalformedMessageException {
    if (known != null) {
      throw invalid(line, "one such line");
    }
  }

  private static void requireLength(String value, CharSequence line)
      throws MalformedMessageException {
    boolean isNumber =
        !value.isEmpty() && value.chars().allMatch(c -> Characters.isDigit((char) c));
    if (!isNumber || value.length() > MAX_LENGTH_DIGITS) {
      throw invalid(line, "a number of bytes, digits only");
    }
  }

  /**
   * Ends a head.
   *
   * @param version the last digit of its version: 0 or more
   * @throws MalformedMessageException if the fields contradict each other
   */
  void end(int version) throws MalformedMessageException {
    if (coding != null && length != null) {
      throw invalid("Transfer-Encoding and Content-Length", "one of them");
    }
    if (coding != null && version == 0) {
      throw invalid("Transfer-Encoding", "none in a message of HTTP/1.0");
    }
  }

  private static MalformedMessageException invalid(CharSequence line, String expected) {
    return new MalformedMessageException(MalformedMessageException.Part.FRAMING, line, expected);
  }
}
