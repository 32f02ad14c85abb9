package org.fawnvale.serving.core.peer;

/** How eligible a daemon is to lead, in ascending order. */
public enum LeaderEligibility {
  /** The daemon is stopping, has just started, or knows no nodes. */
  INELIGIBLE,
  /** The daemon has lost its path to all upstreams, so its orders would not arrive. */
  WITHOUT_UPSTREAMS,
  /** The daemon knows nodes but can't reach the store, or is short of processor time. */
  WITHOUT_STORE,
  /** The store answers the daemon. */
  ELIGIBLE
}
