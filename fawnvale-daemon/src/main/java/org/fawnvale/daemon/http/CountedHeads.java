package org.fawnvale.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.jspecify.annotations.Nullable;

/** Reads the heads of a caller's requests and counts what each of their lines takes. */
final class CountedHeads implements HttpMessageParser<ClassicHttpRequest> {

  private final HttpMessageParser<ClassicHttpRequest> parser;
  private final ConnectionAccount account;

  /**
   * Creates a reader.
   *
   * @param parser reads the lines
   * @param account counts them
   */
  CountedHeads(HttpMessageParser<ClassicHttpRequest> parser, ConnectionAccount account) {
    this.parser = parser;
    this.account = account;
  }

  @Override
  public @Nullable ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream input)
      throws IOException, HttpException {
    return parser.parse(new CountedLines(buffer), input);
  }

  /** The received bytes, whose lines are counted. */
  private final class CountedLines implements SessionInputBuffer {

    private final SessionInputBuffer buffer;

    CountedLines(SessionInputBuffer buffer) {
      this.buffer = buffer;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream input) throws IOException {
      int read = buffer.readLine(line, input);
      account.addLine(line.length());
      return read;
    }

    @Override
    public int length() {
      return buffer.length();
    }

    @Override
    public int capacity() {
      return buffer.capacity();
    }

    @Override
    public int available() {
      return buffer.available();
    }

    @Override
    public int read(byte[] target, int offset, int length, InputStream input) throws IOException {
      return buffer.read(target, offset, length, input);
    }

    @Override
    public int read(byte[] target, InputStream input) throws IOException {
      return buffer.read(target, input);
    }

    @Override
    public int read(InputStream input) throws IOException {
      return buffer.read(input);
    }

    @Override
    public HttpTransportMetrics getMetrics() {
      return buffer.getMetrics();
    }
  }
}
