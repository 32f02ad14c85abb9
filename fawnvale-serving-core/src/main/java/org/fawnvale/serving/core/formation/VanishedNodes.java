package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Node;

/**
 * Retains entries that vanish although their nodes are alive. Entries lapse while nodes can't write
 * to the store, and reappear within about two seconds after it has recovered. Meanwhile the nodes
 * keep serving.
 */
public final class VanishedNodes {

  /**
   * How long an entry is retained. Less than two seconds, the time after which nothing may be sent
   * to a node that has really gone.
   */
  private static final long RETENTION_NANOS = 1_500_000_000L;

  private final Map<String, Node> listedBefore = new HashMap<>();
  private final Map<String, Retained> retained = new HashMap<>();

  private record Retained(Node node, long atNanos) {}

  /**
   * Adds entries that vanished recently to the list.
   *
   * @param listed the nodes that are listed
   * @param mayComeBack whether missing entries may reappear; if not, none is retained
   * @param now the monotonic time, in nanoseconds
   * @return the listed nodes and the retained ones
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
   * Tells whether any entry is retained.
   *
   * @return true until the last one has reappeared or expired
   */
  public boolean hasRetainedNodes() {
    return !retained.isEmpty();
  }
}
