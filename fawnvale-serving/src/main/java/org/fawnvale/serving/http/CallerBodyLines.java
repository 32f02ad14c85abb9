package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The received bytes of a caller's body. Nothing here uses a trailer, so its lines are read and
 * dropped; the library would keep each of them until the last one.
 */
final class CallerBodyLines extends CompleteLines {

  private final RequestMemory memory;

  /**
   * Wraps received bytes.
   *
   * @param input the bytes
   * @param limit bounds the lines between two parts of the body, and the trailer
   * @param memory counts what is received of a line
   */
  CallerBodyLines(SessionInputBuffer input, LineLimit limit, RequestMemory memory) {
    super(input, limit);
    this.memory = memory;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    boolean dropsLines = isInTrailer();
    boolean complete = super.readLine(line, endOfStream);
    while (complete && dropsLines && !line.isEmpty()) {
      line.clear();
      complete = super.readLine(line, endOfStream);
    }
    memory.report(complete ? 0 : length());
    return complete;
  }
}
