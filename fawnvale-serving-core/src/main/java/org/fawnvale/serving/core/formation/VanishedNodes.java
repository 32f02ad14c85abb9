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
  private static final long GRACE_NANOS = 1_500_000_000L;

  private final Map<String, Node> listedBefore = new HashMap<>();
  private final Map<String, Vanished> vanished = new HashMap<>();

  private record Vanished(Node node, long atNanos) {}

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
            vanished.putIfAbsent(id, new Vanished(node, now));
          }
        });
    listedBefore.clear();
    listedBefore.putAll(present);
    vanished
        .entrySet()
        .removeIf(
            entry ->
                !mayComeBack
                    || present.containsKey(entry.getKey())
                    || now - entry.getValue().atNanos() > GRACE_NANOS);
    List<Node> completed = new ArrayList<>(listed);
    vanished.values().forEach(entry -> completed.add(entry.node()));
    return completed;
  }

  /**
   * Tells whether any entry is held on to.
   *
   * @return true until the last one is back or given up
   */
  public boolean hasRetainedNodes() {
    return !vanished.isEmpty();
  }
}
