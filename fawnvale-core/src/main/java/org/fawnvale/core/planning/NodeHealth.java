package org.fawnvale.core.planning;

import java.util.Map;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Replica;
import org.jspecify.annotations.Nullable;

/** Derives the health of nodes and replicas from the last reports of the nodes. */
final class NodeHealth {

  private final Map<String, NodeView> nodes;
  private final long graceMillis;

  NodeHealth(Map<String, NodeView> nodes, long graceMillis) {
    this.nodes = nodes;
    this.graceMillis = graceMillis;
  }

  /** Returns true when a node does not answer probes or is unknown. */
  boolean isLost(String node) {
    NodeView view = nodes.get(node);
    return view == null || !view.isAlive();
  }

  /**
   * Returns true when a node is unknown, or has been silent for the whole grace period and is not
   * pausing.
   */
  boolean isGracePeriodOver(String node) {
    NodeView view = nodes.get(node);
    return view == null
        || !view.isAlive() && view.silentMillis() >= graceMillis && !view.isPausing();
  }

  boolean isLeaving(String node) {
    NodeView view = nodes.get(node);
    return view != null && view.node().leaving();
  }

  /** Returns true when every member reports READY for the replica's generation. */
  boolean isServing(Replica replica) {
    return replica.members().stream().allMatch(node -> isReadyIn(node, replica));
  }

  /** Returns true when every member is READY for the replica's generation, or was and pauses. */
  boolean mayBeServing(Replica replica) {
    return replica.members().stream()
        .allMatch(node -> isReadyIn(node, replica) || isPausingIn(node, replica));
  }

  private boolean isReadyIn(String node, Replica replica) {
    NodeReport report = reportOf(node);
    return report != null && isReady(report, replica);
  }

  private boolean isPausingIn(String node, Replica replica) {
    NodeView view = nodes.get(node);
    return view != null
        && view.isPausing()
        && (view.report() == null || isReady(view.report(), replica));
  }

  private static boolean isReady(NodeReport report, Replica replica) {
    return report.state() == NodeReport.State.READY
        && report.generation() == replica.generation()
        && replica.id().equals(report.replica());
  }

  /**
   * Returns true when a draining replica has no running and no waiting requests.
   *
   * <p>A replica also counts as drained when one of its members has been silent for the whole grace
   * period. A shorter silence does not count, because requests may still be running there.
   */
  boolean isDrained(Replica replica) {
    if (replica.members().stream().anyMatch(this::isGracePeriodOver)) {
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
