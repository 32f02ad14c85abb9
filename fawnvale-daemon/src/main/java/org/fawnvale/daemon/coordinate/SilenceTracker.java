package org.fawnvale.daemon.coordinate;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.planning.PlannerSettings;
import org.fawnvale.core.readiness.ReadinessTable;

/** Tracks the last report, the start of the silence and the recent failures of each node. */
final class SilenceTracker {

  private static final long FAILURE_RETENTION_NANOS = TimeUnit.HOURS.toNanos(6);

  private final Map<String, Long> silentSince = new HashMap<>();
  private final Map<String, NodeReport> lastReports = new HashMap<>();
  private final Map<String, Failures> failures = new HashMap<>();

  private record Failures(int count, long lastNanos) {}

  /**
   * Returns a view of each listed node. For a replica member that the platform no longer lists, the
   * last report and the start of its silence are kept.
   *
   * @param acceptsConnections whether a silent node accepts new connections, as far as is known
   */
  Map<String, NodeView> update(
      List<Node> nodes,
      Set<String> members,
      ReadinessTable table,
      Predicate<String> acceptsConnections,
      long nowNanos) {
    Map<String, NodeView> views = new HashMap<>();
    for (Node node : nodes) {
      views.put(node.name(), view(node, table, acceptsConnections.test(node.name()), nowNanos));
    }
    restartSilenceOfMost(views.values(), nowNanos);
    Set<String> retained = new HashSet<>(members);
    retained.addAll(views.keySet());
    silentSince.keySet().retainAll(retained);
    lastReports.keySet().retainAll(retained);
    failures.values().removeIf(each -> nowNanos - each.lastNanos() > FAILURE_RETENTION_NANOS);
    return views;
  }

  /**
   * Restarts the silence of nodes that may be pausing while most nodes are silent. Otherwise the
   * last ones to be heard again after a common pause would count as lost.
   */
  private void restartSilenceOfMost(Collection<NodeView> views, long nowNanos) {
    List<NodeView> engines = views.stream().filter(view -> view.node().service() == null).toList();
    if (!PlannerSettings.DEFAULT.areTooManySilent(engines)) {
      return;
    }
    for (NodeView view : engines) {
      if (!view.isAlive() && view.acceptsConnections()) {
        silentSince.put(view.node().name(), nowNanos);
      }
    }
  }

  private NodeView view(
      Node node, ReadinessTable table, boolean acceptsConnections, long nowNanos) {
    Optional<NodeReport> report = table.report(node.name(), nowNanos);
    if (report.isPresent()) {
      silentSince.remove(node.name());
      lastReports.put(node.name(), report.get());
      return new NodeView(node, report.get(), 0, failuresOf(node.name()), true);
    }
    Long since = silentSince.get(node.name());
    if (since == null) {
      since = nowNanos;
      silentSince.put(node.name(), since);
      if (lastReports.containsKey(node.name())) {
        int count = failuresOf(node.name()) + 1;
        failures.put(node.name(), new Failures(count, nowNanos));
      }
    }
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(nowNanos - since));
    return new NodeView(
        node, lastReports.get(node.name()), millis, failuresOf(node.name()), acceptsConnections);
  }

  private int failuresOf(String node) {
    Failures recent = failures.get(node);
    return recent == null ? 0 : recent.count();
  }
}
