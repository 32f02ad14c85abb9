package org.fawnvale.serving.gateway;

/** How long an interrupted request has waited for another upstream. */
final class UpstreamWait {

  /** The longest wait; a replacement group usually forms in about a second. */
  private static final long MAX_NANOS = 1_500_000_000L;

  private boolean waiting;
  private long sinceNanos;

  /**
   * Starts the wait unless it has started before.
   *
   * @param nowNanos the monotonic time
   * @return true until the longest wait is over
   */
  boolean mayWait(long nowNanos) {
    if (!waiting) {
      waiting = true;
      sinceNanos = nowNanos;
    }
    return nowNanos - sinceNanos < MAX_NANOS;
  }

  /** Ends the wait, because an upstream was found; the next one starts anew. */
  void end() {
    waiting = false;
  }
}
