package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.NodePaces;
import org.jspecify.annotations.Nullable;

/** Requests the reports from which the pace of nodes is known. */
final class PaceReports {

  private final NodePaces paces;
  private final OrderTracker tracker;

  PaceReports(NodePaces paces, OrderTracker tracker) {
    this.paces = paces;
    this.tracker = tracker;
  }

  /** Records a report, or that none was received. */
  void record(Node node, @Nullable NodeReport report, long now) {
    if (report == null) {
      paces.recordNoReport(node, now);
    } else {
      paces.recordReport(node, report.pace(), now);
    }
  }

  /**
   * Requests the pace of the members of slow groups and of the free nodes of their domains, and
   * again that of all nodes known to be slow.
   *
   * @param changing ids of nodes that are not asked, since a report may be older than the last
   *     order
   */
  void request(
      GroupPlanner.Input input,
      Collection<ObservedGroup> groups,
      Collection<Node> nodes,
      Set<String> changing,
      OrderSink sink) {
    Set<String> urgent = new HashSet<>();
    Set<String> asked = new HashSet<>();
    Set<String> slowDomains = new HashSet<>();
    for (ObservedGroup group : groups) {
      if (input.slowHeads().contains(group.key().head())) {
        Set<String> members = new HashSet<>();
        group.members().forEach(node -> members.add(node.id()));
        asked.addAll(members);
        slowDomains.add(PaceDomains.fabric(group.members().get(0).domain()));
        if (input.suspects().confirmed().contains(group.key().headAtEpoch())) {
          urgent.addAll(members);
        }
      }
    }
    for (Node node : nodes) {
      boolean spare =
          node.membership() == null && slowDomains.contains(PaceDomains.fabric(node.domain()));
      boolean wanted = asked.contains(node.id()) || spare || paces.isSlow(node.id());
      if (wanted && !changing.contains(node.id())) {
        request(node, urgent.contains(node.id()), sink);
      }
    }
  }

  private void request(Node node, boolean urgent, OrderSink sink) {
    if (!tracker.isBusy(node.id()) && paces.isDue(node, urgent)) {
      paces.recordRequest(node);
      sink.report(node);
    }
  }
}
