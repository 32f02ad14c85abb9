package org.fawnvale.serving.core.formation;

import java.util.ArrayDeque;
import java.util.Deque;

/** Holds the loads that begin at the weight store below its rate. */
public final class LoadLimiter {

  private static final double SHARE = 0.6;

  private final long windowNanos;
  private final Deque<Long> begun = new ArrayDeque<>();
  private boolean bounded;

  /**
   * Creates a limiter.
   *
   * @param windowNanos the window that loads are counted in, in nanoseconds
   */
  public LoadLimiter(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Bounds the loads from now on: before the first request of callers they are free. */
  public void enforce() {
    bounded = true;
  }

  /**
   * Tells whether loads are bounded.
   *
   * @return true after {@link #enforce}
   */
  public boolean isEnforced() {
    return bounded;
  }

  /**
   * Takes loads if the rate allows them.
   *
   * @param loads how many
   * @param perSecond loads that may begin in a second
   * @param nowNanos the steady time
   * @return true when they may begin
   */
  public boolean tryAcquire(int loads, double perSecond, long nowNanos) {
    if (!bounded) {
      return true;
    }
    while (!begun.isEmpty() && nowNanos - begun.peekFirst() > windowNanos) {
      begun.removeFirst();
    }
    double allowed = SHARE * perSecond * windowNanos / 1e9;
    if (loads > 0 && begun.size() + loads > allowed) {
      return false;
    }
    for (int load = 0; load < loads; load++) {
      begun.addLast(nowNanos);
    }
    return true;
  }
}
