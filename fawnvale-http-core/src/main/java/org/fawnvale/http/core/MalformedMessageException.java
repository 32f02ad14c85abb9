package org.fawnvale.http.core;

import java.io.IOException;

/**
 * A message that is no HTTP/1.1. Nothing in it is believed: where a line is spoilt, what the others
 * seem to say of the body's end or of the request may be spoilt, too.
 */
public final class MalformedMessageException extends IOException {

  private static final long serialVersionUID = 1L;

  private static final int MAX_QUOTED_CHARACTERS = 60;

  /** A part of a message. */
  public enum Part {
    /** The request line or the status line. */
    FIRST_LINE,
    /** A line of the head behind the first one. */
    FIELD,
    /** The fields that say where the body ends. */
    FRAMING,
    /** The line with the size of a chunk. */
    CHUNK_SIZE,
    /** The end of a chunk. */
    CHUNK_END,
    /** A line of the trailer behind the last chunk. */
    TRAILER
  }

  private final Part part;

  /**
   * Creates an exception.
   *
   * @param part the part that is spoilt
   * @param line the line that is spoilt
   * @param expected what is expected there
   */
  public MalformedMessageException(Part part, CharSequence line, String expected) {
    super(
        "A message is no HTTP/1.1, part "
            + part
            + ": '"
            + quote(line)
            + "'; expected "
            + expected
            + ". Check what sends it.");
    this.part = part;
  }

  private static String quote(CharSequence line) {
    StringBuilder quoted = new StringBuilder();
    for (int index = 0; index < Math.min(line.length(), MAX_QUOTED_CHARACTERS); index++) {
      char character = line.charAt(index);
      quoted.append(Characters.isVisibleAscii(character) ? character : '?');
    }
    return quoted.toString();
  }

  /**
   * Returns the part that is spoilt.
   *
   * @return the part
   */
  public Part part() {
    return part;
  }
}
