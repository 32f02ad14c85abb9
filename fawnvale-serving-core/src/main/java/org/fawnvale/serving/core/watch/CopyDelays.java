package org.fawnvale.serving.core.watch;

/**
 * How long a daemon waits before it fetches a newer copy of the store's objects from a peer.
 *
 * @param minIntervalMillis the minimum time between two fetches, in milliseconds
 * @param watcherDelayMillis how long a daemon that polls the store itself waits for the store to
 *     return the same change, in milliseconds
 * @param remoteDelayMillis how long a daemon that doesn't poll the store waits for a peer of its
 *     own data centre before it fetches from a remote one, in milliseconds
 */
public record CopyDelays(int minIntervalMillis, int watcherDelayMillis, int remoteDelayMillis) {

  /**
   * The delays for the configuration. The minimum interval is the time between two messages. The
   * watcher delay covers the transfer of 1,800 routes over a link of 14 Mbit/s, which takes 0.3 s;
   * a second transfer from a peer would take the same time again on both links. The remote delay
   * covers the polling interval of a watcher in the data centre, 0.4 s, and the 0.15 s until its
   * next message.
   */
  public static final CopyDelays CONFIGURATION = new CopyDelays(150, 600, 700);
}
