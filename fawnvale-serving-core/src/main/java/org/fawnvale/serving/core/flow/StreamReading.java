package org.fawnvale.serving.core.flow;

/**
 * Tells whether the events of one stream show how its upstream works. They do not while the daemon
 * has suspended the stream's input, nor shortly after: what is read then was sent before. Not
 * thread-safe; times are in nanoseconds of the monotonic clock.
 */
public final class StreamReading {

  /**
   * How long a stream must be read without a suspension until its events are current again, in
   * nanoseconds. The buffers of a connection hold some megabytes at most, which a daemon reads in
   * less time.
   */
  private static final long CATCH_UP_NANOS = 1_000_000_000L;

  private boolean suspended;
  private boolean current = true;
  private long resumedNanos;

  /** Records that the daemon has suspended the stream's input. */
  public void suspend() {
    suspended = true;
    current = false;
  }

  /**
   * Records that the daemon has resumed the stream's input.
   *
   * @param nowNanos the monotonic time
   */
  public void resume(long nowNanos) {
    suspended = false;
    resumedNanos = nowNanos;
  }

  /**
   * Tells whether the stream's input is suspended.
   *
   * @return true from the suspension to the resumption
   */
  public boolean isSuspended() {
    return suspended;
  }

  /**
   * Tells whether the stream's events, and its pauses, show how its upstream works now.
   *
   * @param nowNanos the monotonic time
   * @return false while the input is suspended and until the stream has caught up
   */
  public boolean isCurrent(long nowNanos) {
    if (!current && !suspended && nowNanos - resumedNanos >= CATCH_UP_NANOS) {
      current = true;
    }
    return current;
  }
}
