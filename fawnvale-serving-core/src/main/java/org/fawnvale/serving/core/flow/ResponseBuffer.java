package org.fawnvale.serving.core.flow;

/**
 * Decides for the response to one caller how much more may be read from its upstream, when reading
 * waits and resumes, and when a caller that does not read is closed. A buffer may grow to the bound
 * of a caller, and to what the total leaves: each buffer that fills up lowers that for all, so the
 * largest buffers wait first. An empty buffer never waits. Not thread-safe; times are in
 * nanoseconds of the monotonic clock.
 */
public final class ResponseBuffer {

  /**
   * The most bytes that are read before the next decision. Small against the bound of a caller,
   * since bytes once granted are not counted until they arrive.
   */
  private static final int GRANT_BYTES = 16 << 10;

  /** What an empty buffer may always receive, in bytes: one read of a connection. */
  private static final int EMPTY_GRANT_BYTES = 4 << 10;

  /**
   * The size in bytes up to which any event may grow, whatever others hold: nearly all sound events
   * are smaller, and must not be given up because of a few endless ones.
   */
  private static final int SMALL_EVENT_BYTES = 16 << 10;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CallerMemory memory;
  private long unread;
  private long collected;
  private long partial;
  private boolean collecting;
  private boolean complete;
  private boolean suspended;
  private boolean full;
  private long fullSinceNanos;

  /**
   * Creates an empty buffer.
   *
   * @param memory the account of the daemon
   */
  public ResponseBuffer(CallerMemory memory) {
    this.memory = memory;
  }

  /**
   * Counts bytes that wait for the caller to read them.
   *
   * @param bytes their number
   */
  public void add(long bytes) {
    unread += bytes;
    memory.addResponse(bytes);
  }

  /**
   * Counts bytes that the caller's connection has accepted.
   *
   * @param bytes their number
   * @param nowNanos the monotonic time
   */
  public void accepted(long bytes, long nowNanos) {
    unread -= bytes;
    memory.addResponse(-bytes);
    fullSinceNanos = nowNanos;
  }

  /**
   * Counts bytes of a response that is given to the caller only when it is complete. Such a
   * response is bounded by the total alone, since the caller can read none of it yet.
   *
   * @param bytes their number
   */
  public void collect(long bytes) {
    collecting = true;
    collected += bytes;
    memory.addResponse(bytes);
  }

  /**
   * Tells whether an incomplete event may grow to a size. Endless events of many upstreams would
   * fill the memory although each of them is bounded.
   *
   * @param bytes the size
   * @return false when the event has to be given up, with its upstream's answer
   */
  public boolean hasRoomForPartial(long bytes) {
    return bytes <= SMALL_EVENT_BYTES || bytes <= memory.eventRoom();
  }

  /**
   * Counts the bytes of an event that is given to the caller only when it is complete. They count
   * toward the total but never suspend their own input, which alone can complete the event; {@link
   * #hasRoomForPartial} bounds them.
   *
   * @param bytes their number, in place of the number counted before
   */
  public void holdPartial(long bytes) {
    memory.addEvent(bytes - partial);
    partial = bytes;
  }

  /** Drops what was collected: it was given to the caller, or its upstream has failed. */
  public void endCollecting() {
    holdPartial(0);
    memory.addResponse(-collected);
    collected = 0;
    collecting = false;
    memory.unclaimBeyondTotal(this);
  }

  /** Marks that nothing more is read for this caller; its unread bytes are still delivered. */
  public void complete() {
    endCollecting();
    suspended = false;
    complete = true;
  }

  /** Drops all bytes, because the caller is gone. */
  public void clear() {
    complete();
    memory.addResponse(-unread);
    unread = 0;
  }

  /**
   * Returns how many bytes may be read from the upstream now, and suspends its input if none may.
   *
   * @param nowNanos the monotonic time
   * @return bytes; 0 when the input waits until {@link #tryResume} returns true
   */
  public int grant(long nowNanos) {
    long held = unread + collected;
    long bytes = Math.min(GRANT_BYTES, limit() - held);
    if (bytes <= 0 && collecting && memory.claimBeyondTotal(this)) {
      bytes = GRANT_BYTES;
    }
    if (held == 0) {
      bytes = Math.max(EMPTY_GRANT_BYTES, bytes);
    }
    suspended = bytes <= 0;
    if (suspended) {
      markFull(nowNanos);
    }
    return (int) Math.max(0, bytes);
  }

  /**
   * Resumes a suspended input once half of the buffer has drained.
   *
   * @return true when the input was suspended and is no more
   */
  public boolean tryResume() {
    if (!suspended) {
      return false;
    }
    long held = unread + collected;
    boolean drained = held == 0 || held <= limit() / 2;
    boolean hasRoom = collecting && (held < limit() || memory.claimBeyondTotal(this));
    suspended = !drained && !hasRoom;
    return !suspended;
  }

  /**
   * Tells whether the upstream's input is suspended.
   *
   * @return true from a grant of 0 until the input was resumed
   */
  public boolean isSuspended() {
    return suspended;
  }

  /**
   * Tells whether nothing waits for the caller to read it.
   *
   * @return true when no byte is unread
   */
  public boolean isEmpty() {
    return unread == 0;
  }

  /**
   * Returns the bytes that wait for the caller to read them.
   *
   * @return bytes
   */
  public long unread() {
    return unread;
  }

  /** Returns the bytes that are collected until the response is complete. */
  long collected() {
    return collected;
  }

  /**
   * Tells whether the caller does not read. Called regularly, since a buffer also becomes full when
   * others take up the total. A complete response waits for its caller while half of the total is
   * free.
   *
   * @param nowNanos the monotonic time
   * @return true when the buffer has been full, and the caller has accepted no byte, for the time
   *     that the settings allow
   */
  public boolean isStalled(long nowNanos) {
    if (unread == 0 || !isFull()) {
      full = false;
      return false;
    }
    markFull(nowNanos);
    return nowNanos - fullSinceNanos >= memory.limits().stalledMillis() * NANOS_PER_MILLI;
  }

  private boolean isFull() {
    return complete ? memory.isCrowded() : suspended || unread >= limit();
  }

  private void markFull(long nowNanos) {
    if (!full) {
      full = true;
      fullSinceNanos = nowNanos;
    }
  }

  private long limit() {
    long room = memory.room();
    return collecting ? room : Math.min(memory.limits().perCallerBytes(), room);
  }
}
