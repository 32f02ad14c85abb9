package org.fawnvale.core.limits;

/**
 * Estimates the waiting time in a queue from the recent rate of departures.
 *
 * <p>Thread-safe. All times are in nanoseconds of one monotonic clock.
 */
public final class WaitEstimate {

  private static final double SMOOTHING_FACTOR = 0.1;

  private double nanosPerDeparture;
  private long lastDepartureNanos;
  private boolean busy;

  /**
   * Records that an item left the queue.
   *
   * @param nowNanos the current time
   * @param othersWait whether other items are still waiting; if not, the next departure does not
   *     update the estimate
   */
  public synchronized void recordDeparture(long nowNanos, boolean othersWait) {
    if (busy) {
      double gap = nowNanos - lastDepartureNanos;
      nanosPerDeparture =
          nanosPerDeparture == 0
              ? gap
              : nanosPerDeparture * (1 - SMOOTHING_FACTOR) + gap * SMOOTHING_FACTOR;
    }
    lastDepartureNanos = nowNanos;
    busy = othersWait;
  }

  /**
   * Estimates the waiting time behind a number of items.
   *
   * @param ahead number of items ahead
   * @return the time in nanoseconds; 0 before the first estimate
   */
  public synchronized long waitNanos(int ahead) {
    return (long) (nanosPerDeparture * ahead);
  }
}
