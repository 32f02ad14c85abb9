package org.fawnvale.http;

import java.io.IOException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.http.core.ChunkCheck;

/** The received bytes of a body in chunks, whose sizes and trailer are checked. */
public final class CheckedChunks extends DelegatingInput {

  private final ChunkCheck check = new ChunkCheck();

  private CheckedChunks(SessionInputBuffer buffer) {
    super(buffer);
  }

  /**
   * Returns the bytes of a body.
   *
   * @param length the length of the body in bytes, or a constant of {@link ContentLengthStrategy}
   * @param buffer the received bytes
   * @return the bytes to read the body from
   */
  public static SessionInputBuffer ofBody(long length, SessionInputBuffer buffer) {
    return length == ContentLengthStrategy.CHUNKED ? new CheckedChunks(buffer) : buffer;
  }

  @Override
  protected void lineRead(CharArrayBuffer line) throws IOException {
    check.line(line);
  }
}
