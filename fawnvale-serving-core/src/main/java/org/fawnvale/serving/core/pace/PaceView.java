package org.fawnvale.serving.core.pace;

/** The observed pace of nodes. */
@FunctionalInterface
public interface PaceView {

  /** All nodes are as fast as published. */
  PaceView NORMAL = nodeId -> 1;

  /** The pace from which a node or head counts as slow. */
  double SLOW = 2;

  /**
   * Returns the pace of a node, or of the group whose head it is.
   *
   * @param nodeId the node's id
   * @return the factor by which it is slower than the engine's published times; 1 when unknown
   */
  double of(String nodeId);

  /**
   * Tells whether a node or the group whose head it is counts as slow.
   *
   * @param nodeId the node's id
   * @return true from a pace of {@link #SLOW} on
   */
  default boolean isSlow(String nodeId) {
    return of(nodeId) >= SLOW;
  }
}
