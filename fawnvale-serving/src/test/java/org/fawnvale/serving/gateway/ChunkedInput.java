package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Decodes the chunks of a response as its caller reads them; reads no byte ahead. */
final class ChunkedInput extends InputStream {

  private final InputStream in;
  private int rest;
  private boolean ended;

  ChunkedInput(InputStream in) throws IOException {
    this.in = in;
    String line = line();
    if (!line.contains(" 200 ")) {
      throw new IOException("The response is not a success: " + line);
    }
    while (!line.isEmpty()) {
      line = line();
    }
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("The response was cut off.");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public int read() throws IOException {
    byte[] single = new byte[1];
    return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    if (length == 0) {
      return 0;
    }
    if (rest == 0 && !ended) {
      rest = Integer.parseInt(line(), 16);
      ended = rest == 0;
    }
    if (ended) {
      return -1;
    }
    int count = in.read(target, offset, Math.min(length, rest));
    if (count < 0) {
      throw new IOException("The response was cut off.");
    }
    rest -= count;
    if (rest == 0) {
      line();
    }
    return count;
  }

  /** Reads one event, and returns its bytes as text. */
  String event(int bytes) throws IOException {
    return new String(readNBytes(bytes), StandardCharsets.US_ASCII);
  }
}
