package org.fawnvale.core.replay;

import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.planning.NodeView;
import org.jspecify.annotations.Nullable;

/**
 * A simulated node; it accepts orders immediately and loads weights at the throughput of the store.
 */
final class VirtualNode {

  private final String name;
  private final String domain;
  private boolean alive = true;
  private boolean leaving;
  private double silentSince;
  private int failures;
  private @Nullable Order order;
  private @Nullable String loaded;
  private @Nullable String loading;
  private double readyAt;

  VirtualNode(String name, String domain) {
    this.name = name;
    this.domain = domain;
  }

  void apply(FormationTrace.Kind kind, double now) {
    switch (kind) {
      case FAIL -> {
        stopAnswering(now);
        order = null;
        loaded = null;
        loading = null;
      }
      case PAUSE -> stopAnswering(now);
      case RETURN -> {
        alive = true;
        leaving = false;
      }
      default -> leaving = true;
    }
  }

  private void stopAnswering(double now) {
    if (alive) {
      failures++;
      silentSince = now;
    }
    alive = false;
  }

  String domain() {
    return domain;
  }

  boolean isAlive() {
    return alive;
  }

  /** Accepts an order. Returns true when the node has to load weights for it. */
  boolean accept(Order next, VirtualStore store, double now) {
    order = next;
    String requiredWeights = next.version() == null ? null : next.model() + "@" + next.version();
    if (requiredWeights == null
        || requiredWeights.equals(loaded)
        || requiredWeights.equals(loading)) {
      return false;
    }
    loaded = null;
    loading = requiredWeights;
    readyAt = store.scheduleLoad(next.weightGigabytes(), now);
    return true;
  }

  void tick(double now) {
    if (loading != null && now >= readyAt) {
      loaded = loading;
      loading = null;
    }
  }

  boolean isReadyIn(String replica, long generation) {
    return alive
        && order != null
        && replica.equals(order.replica())
        && order.generation() == generation
        && loaded != null
        && loaded.equals(order.model() + "@" + order.version());
  }

  /**
   * Returns the planner's view of the node, which shows a failure only after the detection time.
   */
  NodeView view(double now, double detectionSeconds) {
    Node node = new Node(name, "dc", domain, "", "", null, leaving);
    double silent = alive ? 0 : now - silentSince - detectionSeconds;
    long millis = silent > 0 ? Math.max(1, (long) (silent * 1000)) : 0;
    return new NodeView(node, report(), millis, failures);
  }

  private NodeReport report() {
    Order current = order;
    if (current == null || current.replica() == null) {
      return new NodeReport(
          name, "", null, 0, null, loadedOrLoading(), NodeReport.State.IDLE, 0, 0);
    }
    NodeReport.State state =
        loading != null
            ? NodeReport.State.LOADING
            : current.draining() ? NodeReport.State.DRAINING : NodeReport.State.READY;
    return new NodeReport(
        name,
        "",
        current.replica(),
        current.generation(),
        current.version(),
        loadedOrLoading(),
        state,
        0,
        0);
  }

  private @Nullable String loadedOrLoading() {
    return loading == null ? loaded : loading;
  }
}
