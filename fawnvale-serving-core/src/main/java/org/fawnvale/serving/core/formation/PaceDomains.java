package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.PaceView;

/**
 * Gives the slow nodes of each domain a domain of their own, so that no decision of the planner
 * forms a group of slow and normal nodes.
 */
final class PaceDomains {

  private static final String SLOW_SUFFIX = " (slow)";

  private PaceDomains() {}

  /** Returns the nodes, with the slow ones in the slow parts of their domains. */
  static Collection<Node> divide(Collection<Node> nodes, PaceView paces) {
    List<Node> divided = new ArrayList<>(nodes.size());
    for (Node node : nodes) {
      boolean slow = paces.isSlow(node.id()) && !node.domain().isEmpty();
      divided.add(slow ? withDomain(node, slowPart(node.domain())) : node);
    }
    return divided;
  }

  private static Node withDomain(Node node, String domain) {
    return new Node(
        node.life(),
        node.service(),
        node.endpoint(),
        node.dataCentre(),
        node.slots(),
        node.draining(),
        domain,
        node.model(),
        node.staged(),
        node.membership(),
        node.coldRemainingMillis());
  }

  /** Returns the name under which a domain's slow nodes are planned. */
  static String slowPart(String domain) {
    return domain + SLOW_SUFFIX;
  }

  static boolean isSlowPart(String domain) {
    return domain.endsWith(SLOW_SUFFIX);
  }

  /** Returns the fabric domain that a domain of the plan is a part of. */
  static String fabric(String domain) {
    return isSlowPart(domain)
        ? domain.substring(0, domain.length() - SLOW_SUFFIX.length())
        : domain;
  }

  /** Returns the entries of either the slow parts or the others. */
  static <T> Map<String, T> select(Map<String, T> byDomain, boolean slowParts) {
    Map<String, T> selected = new TreeMap<>(byDomain);
    selected.keySet().removeIf(domain -> isSlowPart(domain) != slowParts);
    return selected;
  }
}
