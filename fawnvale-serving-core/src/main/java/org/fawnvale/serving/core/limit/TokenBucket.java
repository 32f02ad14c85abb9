package org.fawnvale.serving.core.limit;

/**
 * Lets so many requests through a second and saves up no more than a few, so that in any span no
 * more than the rate allows and {@value #MOST_SAVED} go through. It begins empty: what was let
 * through before it, by whomever, counts as spent.
 */
final class TokenBucket {

  /** Requests that may go at once after a pause. */
  static final double BURST = 2;

  /**
   * The least rate, in requests a second: a node that takes less, or none, is still asked now and
   * then, since nothing but its answers shows that its need has ended. One is saved up at the most.
   */
  static final double MIN_PER_SECOND = 0.25;

  /** The longest time to come back that is told, in nanoseconds. */
  private static final long MAX_RETRY_NANOS = 4_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long refilledNanos;
  private long assignedRetryNanos;

  /**
   * Creates an empty bucket.
   *
   * @param fromNanos the steady time from which on it fills
   */
  TokenBucket(long fromNanos) {
    refilledNanos = fromNanos;
    assignedRetryNanos = fromNanos;
  }

  private void refill(double limit, double share, long nowNanos) {
    if (nowNanos - refilledNanos <= 0) {
      return;
    }
    double most = limit < MIN_PER_SECOND ? 1 : BURST;
    double gained = rate(limit, share) * (nowNanos - refilledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(most, tokens + gained);
    refilledNanos = nowNanos;
  }

  private static double rate(double limit, double share) {
    return share * Math.max(limit, MIN_PER_SECOND);
  }

  /**
   * Lets a request through if there is room for it.
   *
   * @param limit the node's limit, in requests a second
   * @param share the part of it that may be spent here, above 0 to 1
   * @param nowNanos the steady time
   * @return whether it may go
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
   * When there is room for a request.
   *
   * @param limit the node's limit, in requests a second
   * @param share the part of it that may be spent here, above 0 to 1
   * @param nowNanos the steady time
   * @return nanoseconds from now; 0 when there is room now
   */
  long nanosUntilAvailable(double limit, double share, long nowNanos) {
    refill(limit, share, nowNanos);
    if (tokens >= 1) {
      return 0;
    }
    long fills = Math.max(0, refilledNanos - nowNanos);
    return fills + (long) Math.ceil((1 - tokens) / rate(limit, share) * NANOS_PER_SECOND);
  }

  /**
   * When one that was told that there is no room should ask again. Those that are told one after
   * the other are told times as far apart as the limit allows, so that they don't meet.
   *
   * @param limit the node's limit, in requests a second
   * @param share the part of it that may be spent here, above 0 to 1
   * @param nowNanos the steady time
   * @return nanoseconds from now
   */
  long nanosUntilRetry(double limit, double share, long nowNanos) {
    long next = nowNanos + nanosUntilAvailable(limit, share, nowNanos);
    long apart = (long) (NANOS_PER_SECOND / rate(limit, share));
    assignedRetryNanos = assignedRetryNanos + apart - next > 0 ? assignedRetryNanos + apart : next;
    if (assignedRetryNanos - nowNanos > MAX_RETRY_NANOS) {
      assignedRetryNanos = next;
    }
    return assignedRetryNanos - nowNanos;
  }
}
