package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Node;

/**
 * Holds on to entries that vanish without their nodes' doing. Entries lapse when the store can't be
 * written to, and are back within about two seconds after it can; meanwhile their nodes serve.
 */
public final class VanishedNodes {

  /**
   * How long an entry is held on to. A node that is really gone may be sent nothing after two
   * seconds.
   */
  private static final long RETENTION_NANOS = 1_500_000_000L;

  private final Map<String, Node> listedBefore = new HashMap<>();
  private final Map<String, Retained> retained = new HashMap<>();

  private record Retained(Node node, long atNanos) {}

  /**
   * Adds entries that vanished a short while ago.
   *
   * @param listed the nodes that are listed
   * @param mayComeBack whether entries that are missing may come back; none is held on to any more
   *     once they may not
   * @param now the steady time, in nanoseconds
   * @return the nodes with those that vanished
   */
  public Collection<Node> complete(Collection<Node> listed, boolean mayComeBack, long now) {
    Map<String, Node> present = new HashMap<>();
    listed.forEach(node -> present.put(node.id(), node));
    listedBefore.forEach(
        (id, node) -> {
          if (mayComeBack && !present.containsKey(id) && !node.draining()) {
            retained.putIfAbsent(id, new Retained(node, now));
          }
        });
    listedBefore.clear();
    listedBefore.putAll(present);
    retained
        .entrySet()
        .removeIf(
            entry ->
                !mayComeBack
                    || present.containsKey(entry.getKey())
                    || now - entry.getValue().atNanos() > RETENTION_NANOS);
    List<Node> completed = new ArrayList<>(listed);
    retained.values().forEach(entry -> completed.add(entry.node()));
    return completed;
  }

  /**
   * Tells whether any entry is held on to.
   *
   * @return true until the last one is back or given up
   */
  public boolean hasRetainedNodes() {
    return !retained.isEmpty();
  }
}
