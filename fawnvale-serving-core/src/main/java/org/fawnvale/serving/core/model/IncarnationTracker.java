package org.fawnvale.serving.core.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which life of each id was seen last. What is remembered of a node belongs to a life; an id that
 * comes with a later start has begun a new one, and what was known of it is not true any more.
 */
public final class IncarnationTracker {

  private final Map<String, NodeIncarnation> last = new HashMap<>();

  /**
   * Takes nodes in.
   *
   * @param nodes the nodes that are seen now
   * @return ids that had another life when they were seen last
   */
  public Set<String> update(Collection<Node> nodes) {
    Set<String> begunAnew = new HashSet<>();
    for (Node node : nodes) {
      NodeIncarnation before = last.put(node.id(), node.incarnation());
      if (before != null && !before.equals(node.incarnation())) {
        begunAnew.add(node.id());
      }
    }
    return begunAnew;
  }

  /**
   * Tells whether a node is the life that was seen last.
   *
   * @param node the node
   * @return false once a later life of its id was seen
   */
  public boolean isCurrent(Node node) {
    NodeIncarnation seen = last.get(node.id());
    return seen == null || seen.equals(node.incarnation());
  }

  /**
   * Forgets ids that nobody asks about any more.
   *
   * @param ids those that are kept
   */
  public void retain(Set<String> ids) {
    last.keySet().retainAll(ids);
  }
}
