package org.fawnvale.daemon.coordinate;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.readiness.ReadinessTable;

/** Remembers since when each node has been silent, its last report, and how often it failed. */
final class SilenceTracker {

  private static final long FAILURE_MEMORY_NANOS = TimeUnit.HOURS.toNanos(6);

  private final Map<String, Long> silentSince = new HashMap<>();
  private final Map<String, NodeReport> lastReports = new HashMap<>();
  private final Map<String, Failures> failures = new HashMap<>();

  private record Failures(int count, long lastNanos) {}

  /** Looks at all nodes; members that the platform no longer lists are kept as unlisted. */
  Map<String, NodeView> look(
      List<Node> nodes, Set<String> listedOrMembers, ReadinessTable table, long nowNanos) {
    Map<String, NodeView> views = new HashMap<>();
    for (Node node : nodes) {
      views.put(node.name(), view(node, table, nowNanos));
    }
    Set<String> known = new HashSet<>(listedOrMembers);
    known.addAll(views.keySet());
    silentSince.keySet().retainAll(known);
    lastReports.keySet().retainAll(known);
    failures.values().removeIf(each -> nowNanos - each.lastNanos() > FAILURE_MEMORY_NANOS);
    return views;
  }

  private NodeView view(Node node, ReadinessTable table, long nowNanos) {
    Optional<NodeReport> report = table.report(node.name(), nowNanos);
    if (report.isPresent()) {
      silentSince.remove(node.name());
      lastReports.put(node.name(), report.get());
      return new NodeView(node, report.get(), 0, failuresOf(node.name()));
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
    return new NodeView(node, lastReports.get(node.name()), millis, failuresOf(node.name()));
  }

  private int failuresOf(String node) {
    Failures known = failures.get(node);
    return known == null ? 0 : known.count();
  }
}
