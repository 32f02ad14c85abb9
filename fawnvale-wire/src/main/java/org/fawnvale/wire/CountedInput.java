package org.fawnvale.wire;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.LongAdder;

/** An input stream that counts the bytes read. */
final class CountedInput extends FilterInputStream {

  private final LongAdder bytes = new LongAdder();

  CountedInput(InputStream in) {
    super(in);
  }

  long bytes() {
    return bytes.sum();
  }

  @Override
  public int read() throws IOException {
    int value = super.read();
    bytes.add(value < 0 ? 0 : 1);
    return value;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) throws IOException {
    int count = super.read(buffer, offset, length);
    bytes.add(Math.max(0, count));
    return count;
  }
}
