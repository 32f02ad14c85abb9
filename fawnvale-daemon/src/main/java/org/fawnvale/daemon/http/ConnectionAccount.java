package org.fawnvale.daemon.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.flow.CallerMemory;

/** Tells the account of the process what one connection holds while its request arrives. */
final class ConnectionAccount {

  /** A byte of a body: in its buffer, which may be half empty. */
  private static final int BYTES_PER_BODY_BYTE = 2;

  private final CallerMemory memory;
  private final CallerHolding holding;
  private long bytes;
  private boolean arriving;

  /**
   * Opens the account of a connection.
   *
   * @param memory the account of the process
   * @param close closes the connection; any thread
   */
  ConnectionAccount(CallerMemory memory, Runnable close) {
    this.memory = memory;
    this.holding = memory.open(close, System.nanoTime());
    memory.makeRoom(System.nanoTime());
  }

  CallerHolding holding() {
    return holding;
  }

  /** Counts a line of a head. */
  void addLine(int characters) {
    arriving = true;
    add(CallerHolding.bytesOfLine(characters));
  }

  private void add(long added) {
    bytes += added;
    holding.hold(bytes);
    memory.makeRoom(System.nanoTime());
  }

  /**
   * Begins to serve the request, which has arrived whole, unless that was done or it has ended.
   *
   * @throws ConnectionClosedException if there is no room; the request has not run
   */
  void begin() throws ConnectionClosedException {
    boolean begins = arriving;
    arriving = false;
    if (begins && !holding.beginRequest(System.nanoTime())) {
      throw new ConnectionClosedException("There is no room for the request.");
    }
  }

  /** Ends the request: its response has been sent. */
  void end() {
    arriving = false;
    holding.endRequest(System.nanoTime());
    bytes = 0;
    holding.hold(0);
  }

  /** Closes the account. */
  void close() {
    holding.close();
  }

  /** Returns the input of a body, which counts what is read and begins the request at its end. */
  InputStream counted(InputStream body) {
    return new CountedBody(body);
  }

  private final class CountedBody extends FilterInputStream {

    CountedBody(InputStream body) {
      super(body);
    }

    @Override
    public int read() throws IOException {
      int value = super.read();
      count(value < 0 ? value : 1);
      return value;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      int count = super.read(target, offset, length);
      count(count);
      return count;
    }

    private void count(int count) throws ConnectionClosedException {
      if (count < 0) {
        begin();
      } else {
        add((long) BYTES_PER_BODY_BYTE * count);
      }
    }
  }
}
