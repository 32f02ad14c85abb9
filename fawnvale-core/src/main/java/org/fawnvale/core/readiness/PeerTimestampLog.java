package org.fawnvale.core.readiness;

/**
 * The last stamps that a peer sent, with the moment each arrived.
 *
 * <p>A prober answers with the newest stamp that had arrived before its probes began. The peer then
 * knows, by its own clock alone, that the evidence is younger than that stamp, however long either
 * process was frozen and however long a message was on its way. The rule is that of a lease whose
 * time runs from the moment the requester asked.
 */
public final class PeerTimestampLog {

  private static final int LENGTH = 32;

  private final long[] arrivals = new long[LENGTH];
  private final long[] stamps = new long[LENGTH];
  private int count;

  /**
   * Notes a stamp.
   *
   * @param stamp the peer's clock, nanoseconds
   * @param arrivedNanos the own clock, nanoseconds
   */
  public synchronized void add(long stamp, long arrivedNanos) {
    int slot = count % LENGTH;
    stamps[slot] = stamp;
    arrivals[slot] = arrivedNanos;
    count++;
  }

  /**
   * Finds the newest stamp that had arrived by a moment.
   *
   * @param nanos the moment, own clock, nanoseconds
   * @return the stamp, or 0 when none of those still kept had arrived
   */
  public synchronized long newestAt(long nanos) {
    int oldest = Math.max(0, count - LENGTH);
    for (int i = count - 1; i >= oldest; i--) {
      if (arrivals[i % LENGTH] - nanos <= 0) {
        return stamps[i % LENGTH];
      }
    }
    return 0;
  }
}
