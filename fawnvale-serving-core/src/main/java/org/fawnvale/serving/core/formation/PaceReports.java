package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.NodePaces;

/** Requests the reports from which the pace of nodes is known. */
final class PaceReports {

  private final NodePaces paces;
  private final OrderTracker tracker;

  PaceReports(NodePaces paces, OrderTracker tracker) {
    this.paces = paces;
    this.tracker = tracker;
  }

  /** Records a report. */
  void record(Node node, NodeReport report, long now) {
    paces.recordReport(node, report.pace(), now);
  }

  /**
   * Requests the pace of the members of slow groups and of the free nodes of their domains, and
   * again that of all nodes known to be slow.
   *
   * @param excluded ids of nodes that are not asked: a report may be older than the last order, or
   *     they are asked because of a suspicion
   */
  void request(
      GroupPlanner.Input input,
      Collection<ObservedGroup> groups,
      Collection<Node> nodes,
      Set<String> excluded,
      OrderSink sink) {
    Set<String> asked = new HashSet<>();
    Set<String> slowDomains = new HashSet<>();
    for (ObservedGroup group : groups) {
      if (input.slowHeads().contains(group.key().head())) {
        group.members().forEach(node -> asked.add(node.id()));
        slowDomains.add(PaceDomains.fabric(group.members().get(0).domain()));
      }
    }
    for (Node node : nodes) {
      boolean spare =
          node.membership() == null && slowDomains.contains(PaceDomains.fabric(node.domain()));
      boolean wanted = asked.contains(node.id()) || spare || paces.isSlow(node.id());
      if (wanted && !excluded.contains(node.id())) {
        request(node, sink);
      }
    }
  }

  private void request(Node node, OrderSink sink) {
    if (!tracker.isBusy(node.id()) && paces.isDue(node)) {
      paces.recordRequest(node);
      sink.report(node);
    }
  }
}
