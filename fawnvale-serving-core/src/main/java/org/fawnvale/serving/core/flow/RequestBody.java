package org.fawnvale.serving.core.flow;

/**
 * Decides when the rest of one request body may be read. The first few bytes of a body are read
 * before this is asked. Not thread-safe; times are in nanoseconds of the monotonic clock.
 */
public final class RequestBody {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CallerMemory memory;
  private long received;
  private long reserved;
  private long waitingSinceNanos;
  private long lastReceivedNanos;
  private boolean waiting;
  private boolean released;

  /**
   * Creates a body of which nothing is received.
   *
   * @param memory the account of the daemon
   */
  public RequestBody(CallerMemory memory) {
    this.memory = memory;
  }

  /**
   * Counts bytes that were received and are held.
   *
   * @param bytes their number
   * @param nowNanos the monotonic time
   */
  public void received(int bytes, long nowNanos) {
    if (released) {
      return;
    }
    received += bytes;
    lastReceivedNanos = nowNanos;
    memory.addBody(bytes);
    reserve(Math.max(0, reserved - bytes));
  }

  /**
   * Reserves room for the rest of the body, or begins to wait for it.
   *
   * @param length the length of the whole body, or the most it may be, in bytes
   * @param nowNanos the monotonic time
   * @return true when the rest may be read now
   */
  public boolean tryAdmit(long length, long nowNanos) {
    if (released) {
      return true;
    }
    long rest = Math.max(0, length - received);
    if (memory.admitsBody(rest)) {
      reserve(rest);
      lastReceivedNanos = nowNanos;
      setWaiting(false);
      return true;
    }
    if (!waiting) {
      setWaiting(true);
      waitingSinceNanos = nowNanos;
    }
    return false;
  }

  /**
   * Tells whether the body has waited so long that the request is refused instead. That also frees
   * what a caller that has left meanwhile has sent: a connection that is not read does not show
   * that it was closed.
   *
   * @param nowNanos the monotonic time
   * @return true when it has waited for as long as a caller may leave its buffer full
   */
  public boolean hasWaitedTooLong(long nowNanos) {
    return waiting && nowNanos - waitingSinceNanos >= patienceNanos();
  }

  /**
   * Tells whether the caller has stopped sending the body while others wait for the room that is
   * reserved for it.
   *
   * @param nowNanos the monotonic time
   * @return true when nothing has arrived for as long as a caller may leave its buffer full
   */
  public boolean isStalled(long nowNanos) {
    return reserved > 0
        && memory.hasWaitingBodies()
        && nowNanos - lastReceivedNanos >= patienceNanos();
  }

  /**
   * Tells whether room is reserved for the rest of the body.
   *
   * @return true from the admission until the body is complete
   */
  public boolean isReserved() {
    return reserved > 0;
  }

  private long patienceNanos() {
    return memory.limits().stalledMillis() * NANOS_PER_MILLI;
  }

  private void setWaiting(boolean waits) {
    if (waiting != waits) {
      memory.addWaitingBodies(waits ? 1 : -1);
      waiting = waits;
    }
  }

  /** Gives back the room of a body that is complete but for what was received. */
  public void complete() {
    reserve(0);
    setWaiting(false);
  }

  /** Gives back all room, because the body is held no more; later calls change nothing. */
  public void release() {
    if (!released) {
      complete();
      released = true;
      memory.addBody(-received);
      received = 0;
    }
  }

  private void reserve(long bytes) {
    memory.addReserved(bytes - reserved);
    reserved = bytes;
  }
}
