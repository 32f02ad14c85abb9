package org.fawnvale.serving.core.limit;

/**
 * Lets so many requests through a second and saves up no more than a few, so that in any span no
 * more than the rate allows and {@value #MOST_SAVED} go through. It begins empty: what was let
 * through before it, by whomever, counts as spent.
 */
final class TokenBucket {

  /** Requests that may go at once after a pause. */
  static final double MOST_SAVED = 2;

  /**
   * The least rate, in requests a second: a node that takes less, or none, is still asked now and
   * then, since nothing but its answers shows that its need has ended. One is saved up at the most.
   */
  static final double LEAST_PER_SECOND = 0.25;

  /** The longest time to come back that is told, in nanoseconds. */
  private static final long LONGEST_WAIT_NANOS = 4_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private double saved;
  private long countedNanos;
  private long toldNanos;

  /**
   * Creates an empty bucket.
   *
   * @param fromNanos the steady time from which on it fills
   */
  TokenBucket(long fromNanos) {
    countedNanos = fromNanos;
    toldNanos = fromNanos;
  }

  private void fill(double limit, double share, long nowNanos) {
    if (nowNanos - countedNanos <= 0) {
      return;
    }
    double most = limit < LEAST_PER_SECOND ? 1 : MOST_SAVED;
    double gained = rate(limit, share) * (nowNanos - countedNanos) / NANOS_PER_SECOND;
    saved = Math.min(most, saved + gained);
    countedNanos = nowNanos;
  }

  private static double rate(double limit, double share) {
    return share * Math.max(limit, LEAST_PER_SECOND);
  }

  /**
   * Lets a request through if there is room for it.
   *
   * @param limit the node's limit, in requests a second
   * @param share the part of it that may be spent here, above 0 to 1
   * @param nowNanos the steady time
   * @return whether it may go
   */
  boolean take(double limit, double share, long nowNanos) {
    fill(limit, share, nowNanos);
    if (saved < 1) {
      return false;
    }
    saved--;
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
  long nanosToNext(double limit, double share, long nowNanos) {
    fill(limit, share, nowNanos);
    if (saved >= 1) {
      return 0;
    }
    long fills = Math.max(0, countedNanos - nowNanos);
    return fills + (long) Math.ceil((1 - saved) / rate(limit, share) * NANOS_PER_SECOND);
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
  long nanosToTell(double limit, double share, long nowNanos) {
    long next = nowNanos + nanosToNext(limit, share, nowNanos);
    long apart = (long) (NANOS_PER_SECOND / rate(limit, share));
    toldNanos = toldNanos + apart - next > 0 ? toldNanos + apart : next;
    if (toldNanos - nowNanos > LONGEST_WAIT_NANOS) {
      toldNanos = next;
    }
    return toldNanos - nowNanos;
  }
}
