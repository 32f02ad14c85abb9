package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** The received bytes of a connection, for classes that change how some of them are read. */
abstract class DelegatingInput implements SessionInputBuffer {

  private final SessionInputBuffer input;

  /**
   * Wraps received bytes.
   *
   * @param input the bytes
   */
  DelegatingInput(SessionInputBuffer input) {
    this.input = input;
  }

  /** Returns the bytes. */
  final SessionInputBuffer input() {
    return input;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    return input.readLine(line, endOfStream);
  }

  @Override
  public boolean hasData() {
    return input.hasData();
  }

  @Override
  public int length() {
    return input.length();
  }

  @Override
  public int fill(ReadableByteChannel source) throws IOException {
    return input.fill(source);
  }

  @Override
  public int read() {
    return input.read();
  }

  @Override
  public int read(ByteBuffer target, int maxBytes) {
    return input.read(target, maxBytes);
  }

  @Override
  public int read(ByteBuffer target) {
    return input.read(target);
  }

  @Override
  public int read(WritableByteChannel target, int maxBytes) throws IOException {
    return input.read(target, maxBytes);
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    return input.read(target);
  }
}
