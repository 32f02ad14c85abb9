package org.fawnvale.serving.http;

import java.util.function.IntSupplier;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Bounds the bytes of the lines that a message brings in a row: those of its head, or those of its
 * body that surround chunks or make up the trailer. The library bounds each line and their number
 * only, and keeps all of them.
 */
final class LineLimit {

  /** Lines that each byte of a body allows; a chunk of one byte has five bytes around it. */
  private static final int LINE_BYTES_PER_BYTE = 16;

  private final IntSupplier maxBytes;
  private int bytes;

  /**
   * Creates a limit; all lines of a head together may be as long as one line.
   *
   * @param config the bounds of the messages
   */
  LineLimit(Http1Config config) {
    this(config::getMaxLineLength);
  }

  /**
   * Creates a limit that may change.
   *
   * @param maxBytes the most bytes of all lines of a head together
   */
  LineLimit(IntSupplier maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Counts bytes that were taken as lines.
   *
   * @param count their number
   * @param input what has arrived behind them
   * @param complete whether the lines are complete; if not, the rest of the input belongs to them
   * @throws MessageConstraintException if there are too many
   */
  void read(int count, SessionInputBuffer input, boolean complete)
      throws MessageConstraintException {
    bytes += count;
    int most = maxBytes.getAsInt();
    if (bytes + (complete ? 0 : input.length()) > most) {
      throw new MessageConstraintException(
          "The lines of a message are longer than "
              + most
              + " bytes; send fewer or shorter headers, or larger chunks.");
    }
  }

  /**
   * Allows more lines, because a part of the body was read.
   *
   * @param count its bytes; below 0 at the end
   */
  void bodyRead(int count) {
    bytes = (int) Math.max(0, bytes - (long) LINE_BYTES_PER_BYTE * Math.max(0, count));
  }

  /** Counts from zero, because a head was read. */
  void reset() {
    bytes = 0;
  }
}
