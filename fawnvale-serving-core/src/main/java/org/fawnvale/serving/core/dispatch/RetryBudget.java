package org.fawnvale.serving.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/** This daemon's part of the repeats that all daemons together may send to a service. */
public final class RetryBudget {

  private static final double SAFETY = 0.8;

  private final double ratio;
  private final double slack;
  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param ratio repeats for each request
   * @param slack repeats of all daemons beside those
   * @param windowNanos the window they are counted in, in nanoseconds
   */
  public RetryBudget(double ratio, double slack, long windowNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = windowNanos;
  }

  /**
   * Counts a request.
   *
   * @param nowNanos the steady time
   */
  public void recordRequest(long nowNanos) {
    requests.addLast(nowNanos);
    forget(requests, nowNanos);
  }

  /**
   * Takes one repeat if there is one left.
   *
   * @param daemons daemons that share the slack, this one included
   * @param nowNanos the steady time
   * @return true when the repeat may be sent
   */
  public boolean tryTake(int daemons, long nowNanos) {
    forget(requests, nowNanos);
    forget(repeats, nowNanos);
    double allowed = SAFETY * (ratio * requests.size() + slack / Math.max(1, daemons));
    if (repeats.size() + 1 > allowed) {
      return false;
    }
    repeats.addLast(nowNanos);
    return true;
  }

  /**
   * Repeats sent within the window.
   *
   * @return their number
   */
  public int spent() {
    return repeats.size();
  }

  private void forget(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
