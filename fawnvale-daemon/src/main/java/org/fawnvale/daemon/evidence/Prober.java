package org.fawnvale.daemon.evidence;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.fawnvale.core.hash.Rendezvous;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.result.Result;
import org.fawnvale.daemon.Context;
import org.jspecify.annotations.Nullable;

/**
 * Probes the nodes that are assigned to this daemon: all nodes concurrently, with at most one probe
 * in flight to each.
 */
final class Prober {

  private static final int PROBERS_PER_NODE = 2;

  /** How long this daemon still probes a node after the node was assigned to other daemons. */
  private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** The nodes assigned to this daemon, with the input that the assignment was computed from. */
  private record Assignment(
      Collection<Node> nodes, Collection<String> daemons, List<Node> assignedNodes) {}

  /** A node's report and the time at which its probe was sent. */
  record ProbeReport(long startedNanos, NodeReport report) {}

  /** Requests the report of one node. */
  @FunctionalInterface
  interface Probe {
    Result<NodeReport> ask(Node node, long timeoutMillis);
  }

  private final Context context;
  private final Executor executor;
  private final Probe probe;
  private final Runnable onChange;
  private final Map<String, ProbeReport> reports = new ConcurrentSkipListMap<>();
  private volatile @Nullable Assignment assignment;
  private final Set<String> inFlight = ConcurrentHashMap.newKeySet();
  private final Set<String> lost = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> probeUntil = new ConcurrentHashMap<>();

  Prober(Context context, Probe probe, Runnable onChange) {
    this.context = context;
    this.executor = context.executor();
    this.probe = probe;
    this.onChange = onChange;
  }

  /**
   * Starts a probe of each node that is assigned to this daemon, or was until recently, and has no
   * probe in flight.
   */
  void probeAll(Collection<Node> nodes, Collection<String> liveDaemons) {
    List<Node> assignedNodes = assignedNodes(nodes, liveDaemons);
    long now = context.nowNanos();
    assignedNodes.forEach(node -> probeUntil.put(node.name(), now + HANDOVER_NANOS));
    probeUntil.values().removeIf(until -> until - now < 0);
    reports.keySet().retainAll(probeUntil.keySet());
    for (Node node : nodes) {
      if (probeUntil.containsKey(node.name()) && inFlight.add(node.name())) {
        executor.execute(() -> ask(node));
      }
    }
  }

  /** Returns the nodes assigned to this daemon; recomputed only when nodes or daemons change. */
  private List<Node> assignedNodes(Collection<Node> nodes, Collection<String> liveDaemons) {
    Assignment last = assignment;
    if (last != null && last.nodes().equals(nodes) && last.daemons().equals(liveDaemons)) {
      return last.assignedNodes();
    }
    String self = context.identity().daemon();
    List<Node> assignedNodes =
        nodes.stream()
            .filter(
                node -> Rendezvous.pick(node.name(), liveDaemons, PROBERS_PER_NODE).contains(self))
            .toList();
    assignment = new Assignment(nodes, liveDaemons, assignedNodes);
    return assignedNodes;
  }

  /** Returns and clears the nodes that stopped answering since the last call. */
  Set<String> takeLost() {
    Set<String> taken = new HashSet<>(lost);
    lost.removeAll(taken);
    return taken;
  }

  /**
   * Probes a node; once more at once if it has stopped answering. Otherwise a pause could end and
   * the next one begin without a probe between them, and both would count as one silence.
   */
  private void ask(Node node) {
    try {
      if (hasStoppedAnswering(node)) {
        hasStoppedAnswering(node);
      }
    } finally {
      inFlight.remove(node.name());
    }
  }

  /** Probes a node once; returns true if it answered the last probe and not this one. */
  private boolean hasStoppedAnswering(Node node) {
    long started = context.nowNanos();
    Result<NodeReport> result = probe.ask(node, context.settings().timing().probeTimeoutMillis());
    boolean changed =
        result.fold(report -> recordReport(started, report), problem -> recordFailure(node.name()));
    if (changed) {
      onChange.run();
    }
    return changed && !result.isSuccess();
  }

  private boolean recordReport(long started, NodeReport report) {
    ProbeReport before = reports.put(report.node(), new ProbeReport(started, report));
    return before == null || !before.report().withLoad(0).equals(report.withLoad(0));
  }

  private boolean recordFailure(String node) {
    boolean hadReport = reports.remove(node) != null;
    if (hadReport) {
      lost.add(node);
    }
    return hadReport;
  }

  /** Returns the reports that are still fresh, ordered by node name. */
  List<ProbeReport> fresh(long nowNanos) {
    ReportAge times = ReportAge.of(context.settings().timing());
    reports.values().removeIf(each -> nowNanos - each.startedNanos() > times.maximumNanos());
    return List.copyOf(reports.values());
  }

  /** The maximum age of a report, counted from when its probe was sent. */
  private record ReportAge(long maximumNanos) {
    static ReportAge of(org.fawnvale.core.settings.DaemonSettings.Timing timing) {
      return new ReportAge(
          TimeUnit.MILLISECONDS.toNanos(2 * timing.probeMillis() + timing.probeTimeoutMillis()));
    }
  }
}
