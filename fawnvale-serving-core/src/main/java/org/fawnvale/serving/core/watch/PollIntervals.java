package org.fawnvale.serving.core.watch;

/**
 * How long daemons rest between two looks at the list of nodes. Each call to the store is paid for,
 * and each change makes a daemon look through its groups, so the rest is as long as the promise on
 * leaving nodes allows: from the entry that says so to the last daemon of the data centre it takes
 * one rest of the watcher, two notes, one pause between copies and one copy, and that must stay
 * below three quarters of the promised time.
 *
 * <p>With fixed rests (300 ms, leader 120 ms) five watchers and a leader made 25 calls a second in
 * a fleet of five data centres; with a promise of 4 s they make 9, and 13 while groups are on their
 * way (counted from the rests).
 */
public final class PollIntervals {

  /** A rest shorter than this brings the same change in no fewer calls. */
  private static final int MIN_INTERVAL_MILLIS = 300;

  /** The list also shows which groups are whole; nobody should wait for it longer than a second. */
  private static final int MAX_INTERVAL_MILLIS = 1_000;

  /** About the time between two notes; peers tell of nothing newer in between. */
  private static final int MIN_COPY_INTERVAL_MILLIS = 150;

  /** Every other near note goes to the relay alone, so a daemon hears another each 300 ms. */
  private static final int MESSAGES_MILLIS = 300;

  /** Parts of the promised time that a watcher may rest. */
  private static final int WATCHER_FRACTION = 4;

  /** Parts of the promised time between two copies that a daemon takes from peers. */
  private static final int COPY_FRACTION = 8;

  /**
   * Orders' outcomes tell the leader most of what the list would; losses of idle nodes may wait.
   */
  private static final int LEADER_INTERVAL_MILLIS = 250;

  /** While groups are on their way the list tells which members are ready. */
  private static final int FORMING_INTERVAL_MILLIS = 120;

  private final int drainMillis;

  /**
   * Creates the cadence.
   *
   * @param leavingMillis how soon after a node says that it leaves nothing may be sent there, in
   *     milliseconds
   */
  public PollIntervals(int leavingMillis) {
    this.drainMillis = leavingMillis;
  }

  /**
   * How long a daemon that watches the nodes rests between two calls.
   *
   * @return the rest, in milliseconds
   */
  public int intervalMillis() {
    int rest = Math.min(MAX_INTERVAL_MILLIS, drainMillis / WATCHER_FRACTION);
    return Math.max(MIN_INTERVAL_MILLIS, rest);
  }

  /**
   * How long the leader rests between two calls.
   *
   * @param forms whether groups are on their way
   * @return the rest, in milliseconds
   */
  public int leaderIntervalMillis(boolean forms) {
    return forms ? FORMING_INTERVAL_MILLIS : LEADER_INTERVAL_MILLIS;
  }

  /**
   * How copies of the nodes are taken from peers. A watcher of the own data centre is about to tell
   * the same, after its rest; a copy from a far peer costs bytes between data centres.
   *
   * @return the times
   */
  public CopyDelays copyDelays() {
    int pause = Math.max(MIN_COPY_INTERVAL_MILLIS, drainMillis / COPY_FRACTION);
    int rest = intervalMillis();
    return new CopyDelays(pause, rest + MESSAGES_MILLIS, rest + MESSAGES_MILLIS);
  }
}
