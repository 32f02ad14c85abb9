package org.fawnvale.serving.core.shutdown;

/** The points in time of one planned stop, on the monotonic clock in nanoseconds. */
public final class StopSchedule {

  /**
   * Time within which the balancer stops sending requests, in milliseconds: it probes readiness
   * every second and removes a daemon after two failed probes.
   */
  private static final long BALANCER_REMOVAL_MILLIS = 3_000;

  /**
   * Part of the grace period reserved for the last answers, the exit of the process and its last
   * log lines, in milliseconds.
   */
  private static final long GRACE_MARGIN_MILLIS = 700;

  /**
   * Part of the margin in which the answers to the requests that did not end in time are written,
   * in milliseconds. They have no bodies; the rest of the margin is for the exit of the process.
   */
  private static final long WRITE_OUT_MILLIS = 300;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long refuseNewNanos;
  private final long endNanos;

  /**
   * Creates the schedule of one stop. It ends no sooner than the balancer sends no requests any
   * more, however short the grace period is.
   *
   * @param begunNanos the time of the request to stop
   * @param graceMillis the maximum duration of the stop, in milliseconds
   */
  public StopSchedule(long begunNanos, long graceMillis) {
    this.refuseNewNanos = begunNanos + BALANCER_REMOVAL_MILLIS * NANOS_PER_MILLI;
    long endMillis = Math.max(BALANCER_REMOVAL_MILLIS, graceMillis - GRACE_MARGIN_MILLIS);
    this.endNanos = begunNanos + endMillis * NANOS_PER_MILLI;
  }

  /**
   * Tells whether new requests are refused.
   *
   * @param nowNanos the time
   * @return true from the time on by which the balancer sends none
   */
  public boolean isRefusingNew(long nowNanos) {
    return nowNanos - refuseNewNanos >= 0;
  }

  /**
   * Returns how long requests may still run.
   *
   * @param nowNanos the time
   * @return the time until the requests in flight are ended; 0 or less from then on
   */
  public long leftNanos(long nowNanos) {
    return endNanos - nowNanos;
  }

  /**
   * Returns how long the last answers may still be written.
   *
   * @param nowNanos the time
   * @return the time until the connections are closed; 0 or less from then on
   */
  public long writeOutLeftNanos(long nowNanos) {
    return leftNanos(nowNanos) + WRITE_OUT_MILLIS * NANOS_PER_MILLI;
  }
}
