package org.fawnvale.serving.core.pace;

/** Tells by which factor nodes are slower than the engine's published times. */
@FunctionalInterface
public interface PaceView {

  /** A view in which every node runs as published. */
  PaceView AS_PUBLISHED = nodeId -> 1;

  /**
   * Returns the pace of a node.
   *
   * @param nodeId the id of the node; of a group, that of its head
   * @return the factor on all times of the node; 1 when it is unknown
   */
  double of(String nodeId);
}
