package org.fawnvale.core.planning;

import java.util.Map;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Replica;
import org.jspecify.annotations.Nullable;

/** What the evidence says of nodes and of the replicas that they form. */
final class NodeFacts {

  private final Map<String, NodeView> nodes;
  private final long graceMillis;

  NodeFacts(Map<String, NodeView> nodes, long graceMillis) {
    this.nodes = nodes;
    this.graceMillis = graceMillis;
  }

  /** Tells whether a node gives no sign of life, or is not known at all. */
  boolean isLost(String node) {
    NodeView view = nodes.get(node);
    return view == null || !view.isAlive();
  }

  /** Tells whether a node has been silent for the whole grace time. */
  boolean isGivenUp(String node) {
    NodeView view = nodes.get(node);
    return view == null || !view.isAlive() && view.silentMillis() >= graceMillis;
  }

  boolean isLeaving(String node) {
    NodeView view = nodes.get(node);
    return view != null && view.node().leaving();
  }

  /** Tells whether every member is ready in the replica's generation. */
  boolean isServing(Replica replica) {
    return replica.members().stream().allMatch(node -> isReadyIn(node, replica));
  }

  private boolean isReadyIn(String node, Replica replica) {
    NodeReport report = reportOf(node);
    return report != null
        && report.state() == NodeReport.State.READY
        && report.generation() == replica.generation()
        && replica.id().equals(report.replica());
  }

  /**
   * Tells whether nothing runs at a draining replica any more.
   *
   * <p>A member that has been silent for the grace time ends it; one that is silent for a moment
   * does not, since what runs there may still be whole.
   */
  boolean isDrained(Replica replica) {
    if (replica.members().stream().anyMatch(this::isGivenUp)) {
      return true;
    }
    NodeReport report = reportOf(replica.head());
    return report != null
        && report.generation() == replica.generation()
        && report.state() == NodeReport.State.DRAINING
        && report.running() == 0
        && report.waiting() == 0;
  }

  private @Nullable NodeReport reportOf(String node) {
    NodeView view = nodes.get(node);
    return view == null || !view.isAlive() ? null : view.report();
  }
}
