package org.fawnvale.serving.core.watch;

/**
 * Computes how often daemons poll the list of nodes. Each call loads the store, and each change
 * makes a daemon check its groups, so the interval is as long as the deadline for draining nodes
 * allows. From the entry of a draining node to the last daemon of the data centre it takes one
 * polling interval of the watcher, two messages, one interval between copies, and one copy. The sum
 * must stay below three quarters of the deadline.
 *
 * <p>With a deadline of 4 s, five watchers and the leader make 9 calls a second, and 13 while
 * groups are forming. Constant intervals of 300 ms, and 120 ms for the leader, would make 25.
 */
public final class PollIntervals {

  private static final int MIN_INTERVAL_MILLIS = 300;

  /** The list also shows which groups are complete, and this must be known within a second. */
  private static final int MAX_INTERVAL_MILLIS = 1_000;

  /** About the time between two messages; peers report no newer copy in between. */
  private static final int MIN_COPY_INTERVAL_MILLIS = 150;

  /**
   * In a large fleet every second local message goes to the relay only, so a daemon receives a
   * message of a peer every 300 ms.
   */
  private static final int MESSAGES_MILLIS = 300;

  /** Divisor of the deadline for the interval of a watcher. */
  private static final int WATCHER_DIVISOR = 4;

  /** Divisor of the deadline for the interval between two copies from peers. */
  private static final int COPY_DIVISOR = 8;

  /**
   * The outcomes of orders tell the leader most of what the list would show, and the loss of an
   * idle node is not urgent.
   */
  private static final int LEADER_INTERVAL_MILLIS = 250;

  /** While groups are forming, the list shows which members are ready. */
  private static final int FORMING_INTERVAL_MILLIS = 120;

  private final int drainMillis;

  /**
   * Creates the intervals.
   *
   * @param drainMillis the time after a node starts to drain within which all daemons must stop
   *     sending to it, in milliseconds
   */
  public PollIntervals(int drainMillis) {
    this.drainMillis = drainMillis;
  }

  /**
   * Returns the time between two calls of a daemon that polls the list of nodes, in milliseconds.
   */
  public int intervalMillis() {
    int interval = Math.min(MAX_INTERVAL_MILLIS, drainMillis / WATCHER_DIVISOR);
    return Math.max(MIN_INTERVAL_MILLIS, interval);
  }

  /**
   * Returns the time between two calls of the leader, in milliseconds.
   *
   * @param isForming whether groups are forming
   */
  public int leaderIntervalMillis(boolean isForming) {
    return isForming ? FORMING_INTERVAL_MILLIS : LEADER_INTERVAL_MILLIS;
  }

  /**
   * Returns the delays for copies of the nodes from peers. A watcher of the same data centre is
   * about to report the same change after its interval, and a copy from a remote peer uses
   * bandwidth between data centres.
   */
  public CopyDelays copyDelays() {
    int copyInterval = Math.max(MIN_COPY_INTERVAL_MILLIS, drainMillis / COPY_DIVISOR);
    int interval = intervalMillis();
    return new CopyDelays(copyInterval, interval + MESSAGES_MILLIS, interval + MESSAGES_MILLIS);
  }
}
