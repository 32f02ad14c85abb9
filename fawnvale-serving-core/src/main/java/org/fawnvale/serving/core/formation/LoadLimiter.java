package org.fawnvale.serving.core.formation;

import java.util.ArrayDeque;
import java.util.Deque;

/** Holds the loads that begin at the weight store below its rate. */
public final class LoadLimiter {

  private static final double RATE_SHARE = 0.6;

  private final long windowNanos;
  private final Deque<Long> startedNanos = new ArrayDeque<>();
  private boolean enforced;

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
    enforced = true;
  }

  /**
   * Tells whether loads are bounded.
   *
   * @return true after {@link #enforce}
   */
  public boolean isEnforced() {
    return enforced;
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
