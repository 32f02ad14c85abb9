package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.IncarnationTracker;
import org.fawnvale.serving.core.model.Node;

/**
 * Remembers the model of each node's last group. A node that has left its group keeps the model's
 * weights in memory and can rejoin within 200 ms, but its entry no longer shows the model.
 */
public final class LastModels {

  private final Map<String, String> models = new HashMap<>();
  private final IncarnationTracker incarnations = new IncarnationTracker();

  /**
   * Records the models that the entries show and fills in those that they no longer show.
   *
   * @param nodes the nodes as they are listed
   * @return the listed nodes; a node whose entry shows no model gets the model of its last group,
   *     if known
   */
  public Collection<Node> complete(Collection<Node> nodes) {
    models.keySet().removeAll(incarnations.update(nodes));
    List<Node> completed = new ArrayList<>(nodes.size());
    Set<String> listed = new HashSet<>();
    for (Node node : nodes) {
      listed.add(node.id());
      String model = node.model();
      if (model != null) {
        models.put(node.id(), model);
      }
      String last = models.get(node.id());
      boolean restorable = model == null && last != null;
      completed.add(restorable ? node.withGroup(last, node.staged(), node.membership()) : node);
    }
    models.keySet().retainAll(listed);
    incarnations.retain(listed);
    return completed;
  }
}
