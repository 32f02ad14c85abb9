package org.fawnvale.serving.core.watch;

/**
 * Tells whether a daemon that has not called the store recently can rely on it. Once a peer in its
 * data centre has lost the store, the daemon can't rely on it until the store has answered one of
 * the daemon's own calls. Otherwise, in a partitioned data centre, one daemon after the other would
 * consider itself eligible, lead, and fail at its first call.
 *
 * <p>Not thread-safe.
 */
public final class StoreSuspicion {

  private boolean peerHasLostStore;
  private long sinceNanos = Long.MIN_VALUE / 2;

  /**
   * Updates the suspicion from the messages of the peers in the data centre.
   *
   * @param peerHasLost whether any of them has lost the store
   * @param nowNanos the monotonic time
   * @return true when a suspicion begins, so that this daemon should call the store
   */
  public boolean updatePeers(boolean peerHasLost, long nowNanos) {
    boolean begins = peerHasLost && !peerHasLostStore;
    peerHasLostStore = peerHasLost;
    if (begins) {
      sinceNanos = nowNanos;
    }
    return begins;
  }

  /**
   * Tells whether the daemon can rely on the store.
   *
   * @param lastResponseNanos the monotonic time of the store's last response to this daemon
   * @return false after a peer has lost the store, until the store responds to this daemon or no
   *     peer reports the loss any more
   */
  public boolean isCleared(long lastResponseNanos) {
    return !peerHasLostStore || lastResponseNanos > sinceNanos;
  }
}
