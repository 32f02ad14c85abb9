package org.fawnvale.serving.core.peer;

import java.util.Collection;

/**
 * Decides whether a daemon has much more requests in progress than the others. A load balancer may
 * hand most new connections to one daemon, which then lacks processor time while the others have it
 * to spare. If all daemons are equally busy, closing connections would only cost the callers tries.
 */
public final class UnevenLoad {

  /** Fewer requests in progress than these don't fill a daemon, whatever the others have. */
  private static final int MIN_IN_PROGRESS = 32;

  /** How many times more requests than a peer has in the mean. */
  private static final int MIN_RATIO = 2;

  private UnevenLoad() {}

  /**
   * Compares a daemon with its peers.
   *
   * @param inProgress the number of requests that the daemon has in progress
   * @param peers the last messages of the other live daemons
   * @return false also if there are no peers
   */
  public static boolean isOnThisDaemon(int inProgress, Collection<PeerMessage> peers) {
    if (peers.isEmpty() || inProgress < MIN_IN_PROGRESS) {
      return false;
    }
    long others = 0;
    for (PeerMessage peer : peers) {
      others += peer.inFlight().values().stream().mapToInt(Integer::intValue).sum();
    }
    return (long) inProgress * peers.size() > MIN_RATIO * others;
  }
}
