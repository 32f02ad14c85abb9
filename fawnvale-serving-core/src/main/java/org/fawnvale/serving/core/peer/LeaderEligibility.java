package org.fawnvale.serving.core.peer;

/** How fit a daemon is to lead; a later value is fitter. */
public enum LeaderEligibility {
  /** It stops, has just started, or knows no nodes. */
  INELIGIBLE,
  /** It knows nodes, and the store does not answer it. */
  WITHOUT_STORE,
  /** The store answers it. */
  ELIGIBLE
}
