package org.fawnvale.upstream;

import java.nio.charset.StandardCharsets;

/**
 * Incrementally detects the end mark of a stream of server-sent events.
 *
 * <p>The mark is a line {@code data: [DONE]}. Carriage returns are ignored.
 */
public final class EndMark {

  private static final byte[] MARK = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

  private int matched;
  private boolean seen;
  private boolean followed;

  /**
   * Processes the next bytes.
   *
   * @param buffer holds the bytes, from index 0
   * @param length number of bytes to process
   */
  public void accept(byte[] buffer, int length) {
    for (int i = 0; i < length; i++) {
      accept(buffer[i]);
    }
  }

  /**
   * Returns whether the mark was found.
   *
   * @return true once a complete line with the mark has been processed
   */
  public boolean isSeen() {
    return seen;
  }

  /**
   * Returns whether the mark was found and only empty lines have followed it.
   *
   * @return false also when the bytes of another answer have followed the stream
   */
  public boolean isLast() {
    return seen && !followed;
  }

  private void accept(byte next) {
    followed |= seen && next != '\n' && next != '\r';
    if (next == '\n') {
      seen |= matched == MARK.length;
      matched = 0;
    } else if (matched >= 0 && matched < MARK.length && next == MARK[matched]) {
      matched++;
    } else if (next != '\r') {
      matched = -1;
    }
  }
}
