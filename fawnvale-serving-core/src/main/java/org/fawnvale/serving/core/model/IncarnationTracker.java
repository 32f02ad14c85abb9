package org.fawnvale.serving.core.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the latest incarnation of each node id, so that state about an earlier incarnation can be
 * discarded. Not thread-safe.
 */
public final class IncarnationTracker {

  private final Map<String, NodeIncarnation> latest = new HashMap<>();

  /**
   * Records nodes as the latest incarnations of their ids.
   *
   * @param nodes the nodes that are listed now
   * @return ids that had another incarnation at the previous update
   */
  public Set<String> update(Collection<Node> nodes) {
    Set<String> restarted = new HashSet<>();
    for (Node node : nodes) {
      NodeIncarnation previous = latest.put(node.id(), node.life());
      if (previous != null && !previous.equals(node.life())) {
        restarted.add(node.id());
      }
    }
    return restarted;
  }

  /**
   * Tells whether a node is the latest known incarnation of its id.
   *
   * @return true also when the id is unknown; false when another incarnation has been recorded
   */
  public boolean isCurrent(Node node) {
    NodeIncarnation known = latest.get(node.id());
    return known == null || known.equals(node.life());
  }

  /**
   * Removes all ids but the given ones.
   *
   * @param ids the ids to keep
   */
  public void retain(Set<String> ids) {
    latest.keySet().retainAll(ids);
  }
}
