package org.fawnvale.core.readiness;

/**
 * The last timestamps that a peer sent, with the local time at which each of them arrived.
 *
 * <p>A prober echoes the newest timestamp that had arrived before its probes began. The peer can
 * then conclude from its own clock that the probes are newer than that timestamp. This holds for
 * any message delay and for any pause of either process, and needs no synchronized clocks.
 */
public final class PeerTimestampLog {

  private static final int CAPACITY = 32;

  private final long[] arrivals = new long[CAPACITY];
  private final long[] timestamps = new long[CAPACITY];
  private int count;

  /**
   * Records a timestamp.
   *
   * @param timestamp the peer's monotonic clock, nanoseconds
   * @param arrivedNanos the local monotonic clock at arrival, nanoseconds
   */
  public synchronized void add(long timestamp, long arrivedNanos) {
    int slot = count % CAPACITY;
    timestamps[slot] = timestamp;
    arrivals[slot] = arrivedNanos;
    count++;
  }

  /**
   * Finds the newest timestamp that had arrived at a given time.
   *
   * @param nanos the given time, local monotonic clock, nanoseconds
   * @return the timestamp, or 0 when none of the last {@value #CAPACITY} had arrived
   */
  public synchronized long newestAt(long nanos) {
    int oldest = Math.max(0, count - CAPACITY);
    for (int i = count - 1; i >= oldest; i--) {
      if (arrivals[i % CAPACITY] - nanos <= 0) {
        return timestamps[i % CAPACITY];
      }
    }
    return 0;
  }
}
