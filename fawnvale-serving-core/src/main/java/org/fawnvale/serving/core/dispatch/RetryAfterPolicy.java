package org.fawnvale.serving.core.dispatch;

/**
 * Computes the Retry-After time of refused callers: late enough that capacity is likely to be
 * available, and spread so that callers that were refused together do not return at the same time
 * and prolong an overload.
 */
public final class RetryAfterPolicy {

  /**
   * How long it takes until a group that lost a member serves again, in milliseconds: about 0.2 s
   * to detect the loss, then the time to load the weights from the hosts. Callers that returned
   * after 0.4 to 1.4 s met the same overload and prolonged it.
   */
  private static final int REPAIR_MILLIS = 1_900;

  /**
   * The longest wait as a share of the caller's remaining time. Callers ignore a Retry-After of
   * more than a third of it; the value leaves a margin.
   */
  private static final double MAX_SHARE_OF_REMAINING = 0.32;

  /** The share of the wait over which returning callers are spread. */
  private static final double SPREAD = 0.25;

  /** Multiples of the golden ratio modulo 1 are spread evenly over the interval from 0 to 1. */
  private static final double GOLDEN_RATIO = 0.618_033_988_75;

  private int refusals;

  /**
   * Returns the Retry-After time for the next refused caller.
   *
   * @param remainingMillis how much longer the caller would wait for its answer, in milliseconds
   * @param pauseMillis how long it is until the first upstream accepts requests again, in
   *     milliseconds; 0 when no upstream pauses
   * @return the time from now, in milliseconds
   */
  public int nextMillis(long remainingMillis, long pauseMillis) {
    refusals++;
    double point = refusals * GOLDEN_RATIO - Math.floor(refusals * GOLDEN_RATIO);
    double longest = MAX_SHARE_OF_REMAINING * Math.max(0, remainingMillis);
    if (pauseMillis > 0 && pauseMillis < longest) {
      return (int) Math.ceil(Math.min(longest, pauseMillis + SPREAD * REPAIR_MILLIS * point));
    }
    double latest = Math.min(REPAIR_MILLIS, longest);
    return (int) (latest * (1 - SPREAD * point));
  }
}
