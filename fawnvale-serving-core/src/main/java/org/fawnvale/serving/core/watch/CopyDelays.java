package org.fawnvale.serving.core.watch;

/**
 * How long to wait before a copy of the store's objects is taken from a peer that tells of a newer
 * one.
 *
 * @param pauseMillis the least time between two copies, in milliseconds
 * @param watcherPatienceMillis how long a daemon that watches the store itself waits for the store
 *     to tell it the same, in milliseconds
 * @param farPatienceMillis how long one that does not waits for a peer of its data centre before it
 *     takes the copy of a far one, in milliseconds
 */
public record CopyDelays(int minIntervalMillis, int watcherDelayMillis, int remoteDelayMillis) {

  /**
   * The times for the configuration. The pause is that between two notes. A watcher waits long
   * enough for 1,800 routes over a link of 14 Mbit/s, which take 0.3 s: a second copy from a peer
   * would take as long again on both links. A near watcher rests 0.4 s, and its note takes 0.15 s.
   */
  public static final CopyDelays CONFIGURATION = new CopyDelays(150, 600, 700);
}
