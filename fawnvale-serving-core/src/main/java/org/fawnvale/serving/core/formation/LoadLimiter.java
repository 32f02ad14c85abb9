package org.fawnvale.serving.core.formation;

import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps the rate of loads from the weight store below the rate that it supports. */
public final class LoadLimiter {

  private static final double RATE_SHARE = 0.6;

  private final long windowNanos;
  private final Deque<Long> startedNanos = new ArrayDeque<>();
  private boolean enforced;

  /**
   * Creates a limiter. It limits nothing before {@link #enforce}.
   *
   * @param windowNanos the sliding window in which loads are counted, in nanoseconds
   */
  public LoadLimiter(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Limits loads from now on. Before the first request of a caller they are not limited. */
  public void enforce() {
    enforced = true;
  }

  /**
   * Tells whether loads are limited.
   *
   * @return true after {@link #enforce}
   */
  public boolean isEnforced() {
    return enforced;
  }

  /**
   * Takes permits for loads, if the rate allows all of them.
   *
   * @param loads the number of loads
   * @param perSecond loads that the weight store can begin per second
   * @param nowNanos the monotonic time
   * @return true when the loads may begin
   */
  public boolean tryAcquire(int loads, double perSecond, long nowNanos) {
    if (!enforced) {
      return true;
    }
    while (!startedNanos.isEmpty() && nowNanos - startedNanos.peekFirst() > windowNanos) {
      startedNanos.removeFirst();
    }
    double allowed = RATE_SHARE * perSecond * windowNanos / 1e9;
    if (loads > 0 && startedNanos.size() + loads > allowed) {
      return false;
    }
    for (int load = 0; load < loads; load++) {
      startedNanos.addLast(nowNanos);
    }
    return true;
  }
}
