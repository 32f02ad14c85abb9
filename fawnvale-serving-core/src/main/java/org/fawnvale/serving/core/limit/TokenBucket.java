package org.fawnvale.serving.core.limit;

/**
 * A token bucket that starts empty, since requests that other daemons sent before its creation are
 * unknown. In any period it admits at most the rate times the period and {@value #BURST} requests.
 */
final class TokenBucket {

  /** Capacity of the bucket, in requests. */
  static final double BURST = 2;

  /**
   * Lower bound of the rate, in requests per second. A node with a lower limit, or with a limit of
   * 0, still receives a request now and then, since only its responses show that the limit has
   * ended. For such a node the bucket holds one token.
   */
  static final double MIN_PER_SECOND = 0.25;

  /**
   * Upper bound of the times that {@link #nanosUntilRetry} returns, unless the next token takes
   * longer.
   */
  private static final long MAX_RETRY_NANOS = 4_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long refilledNanos;
  private long assignedRetryNanos;

  /**
   * Creates an empty bucket.
   *
   * @param fromNanos the monotonic time from which tokens accumulate
   */
  TokenBucket(long fromNanos) {
    refilledNanos = fromNanos;
    assignedRetryNanos = fromNanos;
  }

  private void refill(double limit, double share, long nowNanos) {
    if (nowNanos - refilledNanos <= 0) {
      return;
    }
    double capacity = limit < MIN_PER_SECOND ? 1 : BURST;
    double gained = rate(limit, share) * (nowNanos - refilledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(capacity, tokens + gained);
    refilledNanos = nowNanos;
  }

  private static double rate(double limit, double share) {
    return share * Math.max(limit, MIN_PER_SECOND);
  }

  /**
   * Takes a token if there is one.
   *
   * @param limit the limit of the node, in requests per second
   * @param share the part of the limit that this daemon may use, above 0 to 1
   * @param nowNanos the monotonic time
   */
  boolean tryAcquire(double limit, double share, long nowNanos) {
    refill(limit, share, nowNanos);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /**
   * Returns the time until the next token.
   *
   * @param limit the limit of the node, in requests per second
   * @param share the part of the limit that this daemon may use, above 0 to 1
   * @param nowNanos the monotonic time
   * @return nanoseconds; 0 when there is a token now
   */
  long nanosUntilAvailable(double limit, double share, long nowNanos) {
    refill(limit, share, nowNanos);
    if (tokens >= 1) {
      return 0;
    }
    long untilRefillStarts = Math.max(0, refilledNanos - nowNanos);
    return untilRefillStarts
        + (long) Math.ceil((1 - tokens) / rate(limit, share) * NANOS_PER_SECOND);
  }

  /**
   * Returns when a daemon that was denied a token should ask again. Successive calls return times
   * that are spaced at the rate of the limit, so that the daemons don't retry simultaneously.
   *
   * @param limit the limit of the node, in requests per second
   * @param share the part of the limit that this daemon may use, above 0 to 1
   * @param nowNanos the monotonic time
   * @return nanoseconds from now
   */
  long nanosUntilRetry(double limit, double share, long nowNanos) {
    long availableNanos = nowNanos + nanosUntilAvailable(limit, share, nowNanos);
    long intervalNanos = (long) (NANOS_PER_SECOND / rate(limit, share));
    assignedRetryNanos =
        assignedRetryNanos + intervalNanos - availableNanos > 0
            ? assignedRetryNanos + intervalNanos
            : availableNanos;
    if (assignedRetryNanos - nowNanos > MAX_RETRY_NANOS) {
      assignedRetryNanos = availableNanos;
    }
    return assignedRetryNanos - nowNanos;
  }
}
