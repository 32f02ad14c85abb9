package org.fawnvale.serving.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this daemon sends to one service, so that all daemons together stay
 * within the configured ratio. Not thread-safe.
 */
public final class RetryBudget {

  /** The fraction of the allowed retries that is used; the rest is a safety margin. */
  private static final double SAFETY_FACTOR = 0.8;

  private final double ratio;
  private final double slack;
  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param ratio retries allowed for each request
   * @param slack retries that all daemons together may send in addition
   * @param windowNanos the sliding window in which requests and retries are counted, in nanoseconds
   */
  public RetryBudget(double ratio, double slack, long windowNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = windowNanos;
  }

  /**
   * Counts a request.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void recordRequest(long nowNanos) {
    requests.addLast(nowNanos);
    removeExpired(requests, nowNanos);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param daemons the daemons that share the slack, this one included
   * @param nowNanos the monotonic time, in nanoseconds
   * @return false when the budget is exhausted; the retry must not be sent then
   */
  public boolean tryTake(int daemons, long nowNanos) {
    if (left(daemons, nowNanos) < 1) {
      return false;
    }
    retries.addLast(nowNanos);
    return true;
  }

  /**
   * Returns how many retries may be sent now.
   *
   * @param daemons the daemons that share the slack, this one included
   * @param nowNanos the monotonic time, in nanoseconds
   * @return retries; below 0 when fewer requests are in the window than when retries were sent
   */
  public double left(int daemons, long nowNanos) {
    removeExpired(requests, nowNanos);
    removeExpired(retries, nowNanos);
    return SAFETY_FACTOR * ratio * requests.size() + slackShare(daemons) - retries.size();
  }

  /**
   * Returns this daemon's share of the slack, in retries per window.
   *
   * @param daemons the daemons that share the slack, this one included
   */
  public double slackShare(int daemons) {
    return SAFETY_FACTOR * slack / Math.max(1, daemons);
  }

  /**
   * Returns the number of retries sent within the window, as of the last {@link #left}.
   *
   * @return retries
   */
  public int spent() {
    return retries.size();
  }

  private void removeExpired(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
