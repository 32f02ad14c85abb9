package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.http.core.ChunkCheck;
import org.fawnvale.http.core.MalformedMessageException;

/**
 * The received bytes of a body in chunks, whose lines are by the grammar, and end with a line feed
 * and never with the connection. These are the sizes of chunks and the trailer: a cut size reads as
 * a smaller one, and {@code 0} as the end of the body.
 */
class CompleteLines extends DelegatingInput {

  private final ChunkCheck check = new ChunkCheck();
  private final LineLimit limit;

  /**
   * Wraps received bytes.
   *
   * @param input the bytes
   * @param limit bounds the lines between two parts of the body, and the trailer
   */
  CompleteLines(SessionInputBuffer input, LineLimit limit) {
    super(input);
    this.limit = limit;
  }

  /**
   * Reads a line.
   *
   * @throws CutMessageException if the connection has ended before the line
   * @throws MalformedMessageException if the line is not by the grammar
   */
  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int arrived = length();
    boolean complete = super.readLine(line, false);
    limit.read(arrived - length(), input(), complete);
    if (!complete && endOfStream) {
      throw new CutMessageException(CutMessageException.Part.CHUNK_LINE);
    }
    if (complete) {
      check.line(line);
    }
    return complete;
  }

  /** Returns whether only lines of the trailer follow. */
  final boolean isInTrailer() {
    return check.isInTrailer();
  }

  @Override
  public int read() {
    int read = super.read();
    limit.bodyRead(1);
    return read;
  }

  @Override
  public int read(ByteBuffer target, int maxBytes) {
    int read = super.read(target, maxBytes);
    limit.bodyRead(read);
    return read;
  }

  @Override
  public int read(ByteBuffer target) {
    int read = super.read(target);
    limit.bodyRead(read);
    return read;
  }

  @Override
  public int read(WritableByteChannel target, int maxBytes) throws IOException {
    int read = super.read(target, maxBytes);
    limit.bodyRead(read);
    return read;
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    int read = super.read(target);
    limit.bodyRead(read);
    return read;
  }
}
