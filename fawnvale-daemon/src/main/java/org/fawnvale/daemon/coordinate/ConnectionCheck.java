package org.fawnvale.daemon.coordinate;

import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.planning.NodeView;

/**
 * Checks which silent nodes accept new connections: a node that does may be pausing, any other has
 * failed.
 */
final class ConnectionCheck {

  private static final Logger LOG = LogManager.getLogger("coordinator");

  private final Executor executor;
  private final Predicate<Node> acceptsConnections;
  private final Set<String> inFlight = ConcurrentHashMap.newKeySet();
  private final Set<String> failed = ConcurrentHashMap.newKeySet();

  /**
   * Creates a check.
   *
   * @param executor runs each check; a check blocks its thread
   * @param acceptsConnections opens a new connection to a node and sends a request
   */
  ConnectionCheck(Executor executor, Predicate<Node> acceptsConnections) {
    this.executor = executor;
    this.acceptsConnections = acceptsConnections;
  }

  /** Returns false when the last check of a silent node has found that it has failed. */
  boolean mayAcceptConnections(String node) {
    return !failed.contains(node);
  }

  /**
   * Starts a check of each pausing node that has none in flight, and forgets the results of nodes
   * that answer.
   */
  void start(Collection<NodeView> views) {
    Set<String> silent =
        views.stream()
            .filter(view -> !view.isAlive())
            .map(view -> view.node().name())
            .collect(Collectors.toSet());
    failed.retainAll(silent);
    for (NodeView view : views) {
      boolean matters = !view.isAlive() && view.silentMillis() < NodeView.MAXIMUM_PAUSE_MILLIS;
      if (matters && inFlight.add(view.node().name())) {
        executor.execute(() -> check(view.node()));
      }
    }
  }

  private void check(Node node) {
    try {
      boolean accepted = acceptsConnections.test(node);
      boolean changed = accepted ? failed.remove(node.name()) : failed.add(node.name());
      if (changed) {
        LOG.info("Silent node {} accepts connections: {}.", node.name(), accepted);
      }
    } finally {
      inFlight.remove(node.name());
    }
  }
}
