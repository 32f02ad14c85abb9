package org.fawnvale.http.core;

/**
 * Checks the lines of a body in chunks (RFC 9112, section 7.1): the sizes, the ends of the chunks
 * and the trailer. Lines come without their end marks, the data of the chunks not at all.
 */
public final class ChunkCheck {

  private static final int HEXADECIMAL = 16;
  private static final int MAX_SIZE_DIGITS = 15;

  private enum Next {
    SIZE,
    CHUNK_END,
    TRAILER
  }

  private Next next = Next.SIZE;

  /**
   * Returns whether the last chunk has been read, so that only lines of the trailer follow.
   *
   * @return true behind the size 0
   */
  public boolean isInTrailer() {
    return next == Next.TRAILER;
  }

  /**
   * Checks the next line.
   *
   * @param line the line
   * @throws MalformedMessageException if no body holds such a line there
   */
  public void line(CharSequence line) throws MalformedMessageException {
    switch (next) {
      case SIZE -> next = size(line) == 0 ? Next.TRAILER : Next.CHUNK_END;
      case CHUNK_END -> {
        if (line.length() > 0) {
          throw new MalformedMessageException(
              MalformedMessageException.Part.CHUNK_END, line, "the end of a line");
        }
        next = Next.SIZE;
      }
      case TRAILER -> {
        if (line.length() > 0) {
          FieldLine.check(MalformedMessageException.Part.TRAILER, line);
        }
      }
    }
  }

  /** Reads a size: digits, which extensions behind a semicolon may follow. */
  private static long size(CharSequence line) throws MalformedMessageException {
    int end = 0;
    while (end < line.length() && Characters.isHexadecimal(line.charAt(end))) {
      end++;
    }
    int behind = end;
    while (behind < line.length() && Characters.isBlank(line.charAt(behind))) {
      behind++;
    }
    boolean endsPlainly =
        behind == line.length()
            || line.charAt(behind) == ';' && Characters.areText(line, behind + 1);
    if (end == 0 || end > MAX_SIZE_DIGITS || !endsPlainly) {
      throw new MalformedMessageException(
          MalformedMessageException.Part.CHUNK_SIZE, line, "a hexadecimal number of bytes");
    }
    return Long.parseLong(line, 0, end, HEXADECIMAL);
  }
}
