package org.fawnvale.serving.core.flow;

/**
 * What one connection of a caller makes the daemon hold beside request bodies and responses: the
 * connection itself, and the head of its request, whole or not. Thread-safe; times are in
 * nanoseconds of the monotonic clock.
 */
public final class CallerHolding {

  /**
   * The memory of a connection on which nothing has arrived, in bytes: its session, two buffers of
   * 4 kB, and the state of the library.
   */
  public static final int CONNECTION_BYTES = 16 << 10;

  /** The objects of a header, in bytes: a buffer with 64 characters, a name, a value, two lists. */
  private static final int BYTES_PER_LINE = 256;

  /** A character of a header, in bytes: in its buffer, which may be half empty, and in copies. */
  private static final int BYTES_PER_CHARACTER = 6;

  /** Whole requests of this memory, in bytes, are served beside many large ones. */
  private static final int SMALL_REQUEST_BYTES = 48 << 10;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CallerMemory memory;
  private final Runnable giveWay;
  private long requestBytes;
  private State state = State.ARRIVING;
  private long sinceNanos;

  /** How far the request of the connection has come. */
  private enum State {
    /** None, or one that has not arrived whole. */
    ARRIVING,
    /** It has arrived whole, and its response is not complete. */
    SERVED,
    /** Its response is complete and waits for the caller to read it. */
    ANSWERED,
    /** The connection is being closed; its memory is not free yet. */
    CLOSING,
    /** The connection is closed. */
    CLOSED
  }

  /**
   * Creates the holding of a new connection.
   *
   * @param giveWay closes the connection
   */
  CallerHolding(CallerMemory memory, Runnable giveWay, long nowNanos) {
    this.memory = memory;
    this.giveWay = giveWay;
    this.sinceNanos = nowNanos;
  }

  /**
   * Returns what a line of a head takes in memory, however few bytes it has on the wire.
   *
   * @param characters its length
   * @return bytes
   */
  public static long bytesOfLine(int characters) {
    return BYTES_PER_LINE + (long) BYTES_PER_CHARACTER * characters;
  }

  /**
   * Sets the memory of the request that arrives, or of the one that is served.
   *
   * @param bytes the memory in bytes, in place of what was set before
   */
  public void hold(long bytes) {
    synchronized (memory) {
      setRequestBytes(bytes);
    }
  }

  private void setRequestBytes(long bytes) {
    if (isClosed()) {
      return;
    }
    memory.addConnections(bytes - requestBytes);
    if (state == State.SERVED) {
      memory.addServed(bytes - requestBytes);
    }
    requestBytes = bytes;
  }

  /**
   * Begins to serve the request, which has arrived whole. Until {@link #answered} this connection
   * does not give way.
   *
   * @param nowNanos the monotonic time
   * @return false when there is no room to serve it; it must be refused
   */
  public boolean beginRequest(long nowNanos) {
    synchronized (memory) {
      if (isClosed() || state == State.SERVED) {
        return state == State.SERVED;
      }
      state = State.SERVED;
      memory.addServed(requestBytes);
    }
    memory.makeRoom(nowNanos);
    synchronized (memory) {
      boolean small = requestBytes <= SMALL_REQUEST_BYTES;
      boolean room = !memory.isConnectionsOverLimit() && (small || !memory.isServedOverLimit());
      if (!room) {
        leaveServing(State.ARRIVING, nowNanos);
      }
      return room;
    }
  }

  /**
   * Records that the response is complete, or that its caller has read on: one that does not read
   * may give way after a while.
   *
   * @param nowNanos the monotonic time
   */
  public void answered(long nowNanos) {
    synchronized (memory) {
      leaveServing(State.ANSWERED, nowNanos);
      sinceNanos = state == State.ANSWERED ? nowNanos : sinceNanos;
    }
  }

  /**
   * Ends the request: its response has been delivered or given up.
   *
   * @param nowNanos the monotonic time
   */
  public void endRequest(long nowNanos) {
    synchronized (memory) {
      leaveServing(State.ARRIVING, nowNanos);
      state = state == State.ANSWERED ? State.ARRIVING : state;
    }
  }

  private void leaveServing(State next, long nowNanos) {
    if (state == State.SERVED) {
      memory.addServed(-requestBytes);
      state = next;
      sinceNanos = nowNanos;
    }
  }

  private boolean isClosed() {
    return state == State.CLOSING || state == State.CLOSED;
  }

  /** Gives all memory back, because the connection is closed; later calls change nothing. */
  public void close() {
    synchronized (memory) {
      if (state == State.CLOSED) {
        return;
      }
      beginClosing();
      memory.endClosing(heldBytes());
      state = State.CLOSED;
    }
  }

  private void beginClosing() {
    if (state != State.CLOSING) {
      leaveServing(State.CLOSING, sinceNanos);
      state = State.CLOSING;
      memory.beginClosing(this, heldBytes());
    }
  }

  private long heldBytes() {
    return CONNECTION_BYTES + requestBytes;
  }

  /**
   * Closes the connection unless its request is served. What it holds counts until {@link #close}.
   *
   * @return whether it is closed now
   */
  public boolean closeUnlessServed() {
    synchronized (memory) {
      if (state == State.SERVED || isClosed()) {
        return false;
      }
      beginClosing();
    }
    giveWay.run();
    return true;
  }

  /**
   * Tells whether nothing of a request has to be answered on this connection.
   *
   * @return true before a request has arrived whole, and once its response has been delivered
   */
  public boolean isArriving() {
    synchronized (memory) {
      return state == State.ARRIVING;
    }
  }

  /**
   * Tells whether this connection may give way: it has had no whole request for a time, or its
   * caller has had time to read the response.
   *
   * @param minAgeNanos the time without a whole request
   */
  boolean mayGiveWay(long nowNanos, long minAgeNanos) {
    long age = nowNanos - sinceNanos;
    return switch (state) {
      case ARRIVING -> age >= minAgeNanos;
      case ANSWERED -> age >= memory.limits().stalledMillis() * NANOS_PER_MILLI;
      case SERVED, CLOSING, CLOSED -> false;
    };
  }

  /**
   * Returns how much memory this connection has taken beyond that of an idle one, and for how long,
   * without a whole request. Of several connections the one with the most gives way first.
   */
  double unusedByteNanos(long nowNanos) {
    return (requestBytes + 1.0) * Math.max(1, nowNanos - sinceNanos);
  }
}
