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
  private boolean inTrailer;

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
    boolean complete = super.readLine(line, endOfStream);
    while (complete && inTrailer && !line.isEmpty()) {
      line.clear();
      complete = super.readLine(line, endOfStream);
    }
    memory.report(complete ? 0 : length());
    inTrailer |= complete && isLastSize(line);
    return complete;
  }

  /** Returns whether a line is the size of the last chunk: zeros, which extensions may follow. */
  private static boolean isLastSize(CharArrayBuffer line) {
    int end = line.indexOf(';');
    String size = line.substringTrimmed(0, end < 0 ? line.length() : end);
    return !size.isEmpty() && size.chars().allMatch(digit -> digit == '0');
  }
}
