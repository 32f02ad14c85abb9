package org.fawnvale.serving.core.formation;

import org.fawnvale.serving.core.watch.StorePosition;

/**
 * Decides when the leader makes a plan. A plan visits every node, so the leader plans only when
 * something has changed or a maximal interval has passed. A plan takes 4 ms with 1,000 nodes; every
 * 50 ms it took 0.176 of a core, on changes 0.088.
 */
public final class PlanPacing {

  /**
   * Upper bound on the time between plans. While no group is being formed, all timeouts that a plan
   * checks are of at least half a second.
   */
  private static final long MAX_INTERVAL_NANOS = 200_000_000L;

  private boolean answerReceived;
  private StorePosition plannedPosition = StorePosition.NONE;
  private long plannedNanos = Long.MIN_VALUE / 2;

  /** Records that a node has answered an order or a report request. */
  public void answered() {
    answerReceived = true;
  }

  /**
   * Tells whether a plan is due. The caller has to plan when it is.
   *
   * @param nodes the position in the store's history that the list of nodes reflects
   * @param busy whether groups are being formed or dissolved, or anything else is urgent
   * @param now the monotonic time, in nanoseconds
   * @return true when a plan may differ from the last one
   */
  public boolean isDue(StorePosition nodes, boolean busy, long now) {
    boolean changed = answerReceived || !nodes.equals(plannedPosition);
    boolean due = busy || changed || now - plannedNanos >= MAX_INTERVAL_NANOS;
    if (due) {
      answerReceived = false;
      plannedPosition = nodes;
      plannedNanos = now;
    }
    return due;
  }
}
