package org.fawnvale.core.model;

/** The stage of a bundle revision. */
public enum Stage {
  /** Stored, waiting for an operator's approval. */
  SUBMITTED,
  /** Approved, waiting for its rollout. */
  APPROVED,
  /** In force for routing; replicas are being upgraded to it. */
  ROLLING,
  /** All replicas that it requires have been upgraded to it. */
  COMPLETE,
  /**
   * In force for routing; no further replica is upgraded until the rollout is resumed or replaced.
   */
  STOPPED
}
