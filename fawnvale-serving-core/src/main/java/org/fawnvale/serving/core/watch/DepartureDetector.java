package org.fawnvale.serving.core.watch;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.fawnvale.serving.core.model.Node;

/**
 * Whether a list shows that a node leaves or has gone, which other daemons must hear at once: a
 * note that waits for its turn and a copy that waits for the note are a fifth of the time in which
 * all daemons must have stopped sending there.
 */
public final class DepartureDetector {

  private Set<String> active = Set.of();

  /**
   * Takes a list in.
   *
   * @param listed the nodes that are listed now
   * @return ids of those that were listed as staying and leave now, or are not listed any more
   */
  public Set<String> update(Collection<Node> listed) {
    Set<String> staysNow = new HashSet<>();
    for (Node node : listed) {
      if (!node.draining()) {
        staysNow.add(node.id());
      }
    }
    Set<String> leaving = new TreeSet<>();
    for (String id : active) {
      if (!staysNow.contains(id)) {
        leaving.add(id);
      }
    }
    active = staysNow;
    return leaving;
  }
}
