package org.fawnvale.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;

/**
 * The input of a part of a message that has an end mark of its own. The library's blocking parsers
 * also take the end of the connection for the end of a line, of a head and of a trailer, so that a
 * cut value would read as a shorter one; here it is an error.
 */
public final class CompleteInput extends FilterInputStream {

  private boolean begun;

  /**
   * Wraps the input of a connection.
   *
   * @param input the input
   * @param begun whether a byte of the part has been received before
   */
  public CompleteInput(InputStream input, boolean begun) {
    super(input);
    this.begun = begun;
  }

  /**
   * Returns the input of a body: its chunks have end marks, and a length is checked by the library.
   *
   * @param length the length of the body in bytes, or a constant of {@link ContentLengthStrategy}
   * @param input the input of the connection
   * @return the input to read the body from
   */
  public static InputStream ofBody(long length, InputStream input) {
    return length == ContentLengthStrategy.CHUNKED ? new CompleteInput(input, true) : input;
  }

  @Override
  public int read() throws IOException {
    return checkEnd(super.read());
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    return checkEnd(super.read(target, offset, length));
  }

  private int checkEnd(int result) throws ConnectionClosedException {
    if (result < 0 && begun) {
      throw new ConnectionClosedException(
          "The connection ended inside a message; what the cut part holds is ignored.");
    }
    begun = true;
    return result;
  }
}
