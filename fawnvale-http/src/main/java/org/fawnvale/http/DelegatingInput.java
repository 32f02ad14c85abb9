package org.fawnvale.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** The received bytes of a connection, for classes that look at the lines in them. */
public abstract class DelegatingInput implements SessionInputBuffer {

  private final SessionInputBuffer buffer;

  /**
   * Wraps received bytes.
   *
   * @param buffer the bytes
   */
  protected DelegatingInput(SessionInputBuffer buffer) {
    this.buffer = buffer;
  }

  /**
   * Called with each line.
   *
   * @param line the line, without its end mark
   * @throws IOException if the line is not taken
   */
  protected abstract void lineRead(CharArrayBuffer line) throws IOException;

  @Override
  public final int readLine(CharArrayBuffer line, InputStream input) throws IOException {
    int read = buffer.readLine(line, input);
    if (read >= 0) {
      lineRead(line);
    }
    return read;
  }

  @Override
  public final int length() {
    return buffer.length();
  }

  @Override
  public final int capacity() {
    return buffer.capacity();
  }

  @Override
  public final int available() {
    return buffer.available();
  }

  @Override
  public final int read(byte[] target, int offset, int length, InputStream input)
      throws IOException {
    return buffer.read(target, offset, length, input);
  }

  @Override
  public final int read(byte[] target, InputStream input) throws IOException {
    return buffer.read(target, input);
  }

  @Override
  public final int read(InputStream input) throws IOException {
    return buffer.read(input);
  }

  @Override
  public final HttpTransportMetrics getMetrics() {
    return buffer.getMetrics();
  }
}
