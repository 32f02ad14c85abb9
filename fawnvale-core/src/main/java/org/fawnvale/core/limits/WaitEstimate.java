package org.fawnvale.core.limits;

/**
 * Estimates how long a queue takes, from how fast it has been moving.
 *
 * <p>Safe for several threads. All moments are one monotonic clock in nanoseconds.
 */
public final class WaitEstimate {

  private static final double WEIGHT_OF_NEW = 0.1;

  private double nanosPerDeparture;
  private long lastDepartureNanos;
  private boolean busy;

  /**
   * Notes that an item left while others waited, or that the queue ran empty.
   *
   * @param nowNanos now
   * @param othersWait true when items still wait, so that the next gap measures the queue's speed
   */
  public synchronized void recordDeparture(long nowNanos, boolean othersWait) {
    if (busy) {
      double gap = nowNanos - lastDepartureNanos;
      nanosPerDeparture =
          nanosPerDeparture == 0
              ? gap
              : nanosPerDeparture * (1 - WEIGHT_OF_NEW) + gap * WEIGHT_OF_NEW;
    }
    lastDepartureNanos = nowNanos;
    busy = othersWait;
  }

  /**
   * Estimates the wait behind a number of items.
   *
   * @param ahead items ahead
   * @return nanoseconds; 0 while nothing is known
   */
  public synchronized long waitNanos(int ahead) {
    return (long) (nanosPerDeparture * ahead);
  }
}
