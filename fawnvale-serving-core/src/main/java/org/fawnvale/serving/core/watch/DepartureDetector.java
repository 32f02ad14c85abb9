package org.fawnvale.serving.core.watch;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.fawnvale.serving.core.model.Node;

/**
 * Finds the nodes that have started to drain or have disappeared since the previous list, which
 * peers must learn at once. Waiting for the next regular message and for the copy that follows it
 * would take a fifth of the time within which all daemons must stop sending to the node.
 *
 * <p>Not thread-safe.
 */
public final class DepartureDetector {

  private Set<String> active = Set.of();

  /**
   * Compares a list with the previous one.
   *
   * @param listed the nodes that are listed now
   * @return the ids of nodes that were not draining in the previous list, and are draining or
   *     missing now
   */
  public Set<String> update(Collection<Node> listed) {
    Set<String> activeNow = new HashSet<>();
    for (Node node : listed) {
      if (!node.draining()) {
        activeNow.add(node.id());
      }
    }
    Set<String> departed = new TreeSet<>();
    for (String id : active) {
      if (!activeNow.contains(id)) {
        departed.add(id);
      }
    }
    active = activeNow;
    return departed;
  }
}
