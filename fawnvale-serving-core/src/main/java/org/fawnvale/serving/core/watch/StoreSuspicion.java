package org.fawnvale.serving.core.watch;

/**
 * Whether a daemon that has not called the store lately may still count on it. Once a daemon of its
 * data centre has lost the store, it may not until the store has answered a call of its own: in a
 * data centre that was cut off for 5.4 s each of 27 daemons held itself to be fit, led, found out,
 * and gave way to the next after 0.3 s, and no group was mended meanwhile.
 */
public final class StoreSuspicion {

  private boolean peerHasLostStore;
  private long sinceNanos = Long.MIN_VALUE / 2;

  /**
   * Takes in what the near daemons tell.
   *
   * @param peerHasLost whether any of them has lost the store
   * @param nowNanos the steady time
   * @return true when a call of one's own is due, to find out
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
   * Tells whether the store may be counted on.
   *
   * @param answeredAtNanos when it last answered this daemon, by the steady clock
   * @return false from the loss that a near daemon told of until the next answer
   */
  public boolean isCleared(long answeredAtNanos) {
    return !peerHasLostStore || answeredAtNanos > sinceNanos;
  }
}
