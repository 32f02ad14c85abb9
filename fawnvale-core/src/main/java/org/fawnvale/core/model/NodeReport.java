package org.fawnvale.core.model;

import org.jspecify.annotations.Nullable;

/**
 * The state that the engine of a node reports.
 *
 * @param node the node's name
 * @param incarnation changes whenever the engine restarts and loses its state
 * @param replica the replica that the last order assigned the node to; null for none
 * @param generation the generation of that replica; 0 for none
 * @param version the full version of the model in the replica; null for none
 * @param loadedVersion model and version of the loaded weights, as {@code model@version}, also
 *     outside a replica; null for none
 * @param state the state of the node
 * @param running number of running requests, reported by the head
 * @param waiting number of waiting requests, reported by the head
 */
public record NodeReport(
    String node,
    String incarnation,
    @Nullable String replica,
    long generation,
    @Nullable String version,
    @Nullable String loadedVersion,
    State state,
    int running,
    int waiting) {

  /** The state of a node. */
  public enum State {
    /** Not a member of a replica. */
    IDLE,
    /** Loading weights. */
    LOADING,
    /** Ready to serve as a member. */
    READY,
    /** Finishes running requests and takes no new ones. */
    DRAINING,
    /** The last order failed. */
    FAILED
  }

  /**
   * Returns a copy of the report with another load.
   *
   * @param outstanding number of running and waiting requests; the copy counts all of them as
   *     running
   */
  public NodeReport withLoad(int outstanding) {
    return new NodeReport(
        node, incarnation, replica, generation, version, loadedVersion, state, outstanding, 0);
  }
}
