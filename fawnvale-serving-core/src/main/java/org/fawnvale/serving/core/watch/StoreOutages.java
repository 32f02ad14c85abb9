package org.fawnvale.serving.core.watch;

/**
 * Distinguishes outages of the store for the whole fleet from outages for this daemon only. In a
 * fleet-wide outage the entries of live nodes may expire, since a node that could not write three
 * heartbeats loses its entry, and come back later. If only this daemon has lost the store, the
 * store still receives heartbeats, so an entry that has disappeared belongs to a node that left or
 * died.
 *
 * <p>Not thread-safe.
 */
public final class StoreOutages {

  /**
   * The shortest outage in which an entry can expire: three heartbeats of 1.2 s, the first of which
   * may have been due just before the outage.
   */
  private static final long MIN_EXPIRY_NANOS = 2_400_000_000L;

  /**
   * How long after a fleet-wide outage the store's responses may lack entries that expired during
   * it.
   */
  private static final long RECOVERY_NANOS = 2_000_000_000L;

  /**
   * An outage counts as local if a peer reached the store in at least this fraction of the
   * observations during the outage. A daemon that is cut off learns at once that its peers still
   * reach the store. In a fleet-wide outage the peers lose it soon after, and regain it up to a
   * second earlier.
   */
  private static final double LOCAL_OUTAGE_RATIO = 0.75;

  private long lastResponseNanos;
  private int observations;
  private int observationsWithOthers;
  private boolean unavailable;
  private boolean wasFleetWide;
  private long returnedNanos = Long.MIN_VALUE / 2;

  /**
   * Records an observation; to be called regularly.
   *
   * @param reachableHere whether the store answers this daemon
   * @param reachableElsewhere whether the store answers any other daemon, as reported by the
   *     daemons
   * @param responseNanos the monotonic time of the store's last response to this daemon
   * @param nowNanos the monotonic time
   */
  public void observe(
      boolean reachableHere, boolean reachableElsewhere, long responseNanos, long nowNanos) {
    if (!reachableHere) {
      if (!unavailable) {
        startOutage(responseNanos);
      }
      observations++;
      observationsWithOthers += reachableElsewhere ? 1 : 0;
    } else if (unavailable) {
      wasFleetWide = isFleetWide(nowNanos);
      returnedNanos = nowNanos;
      unavailable = false;
    }
  }

  private void startOutage(long responseNanos) {
    unavailable = true;
    lastResponseNanos = responseNanos;
    observations = 0;
    observationsWithOthers = 0;
  }

  private boolean isFleetWide(long nowNanos) {
    boolean longEnough = nowNanos - lastResponseNanos >= MIN_EXPIRY_NANOS;
    return longEnough && observationsWithOthers < LOCAL_OUTAGE_RATIO * observations;
  }

  /**
   * Tells whether an entry that is missing now may have expired while its node is alive.
   *
   * @param nowNanos the monotonic time
   * @return false when the node has left or died
   */
  public boolean mayHaveExpired(long nowNanos) {
    return unavailable
        ? isFleetWide(nowNanos)
        : wasFleetWide && nowNanos - returnedNanos < RECOVERY_NANOS;
  }
}
