package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;

/** Tracks how long nodes have been free. */
final class IdleTimes {

  /**
   * How long a node is kept idle for a model that needs it more. Within two seconds, lapsed entries
   * reappear and members of dissolved groups pass their liveness check.
   */
  private static final long MAX_IDLE_NANOS = 2_000_000_000L;

  private final Map<String, Long> since = new HashMap<>();

  void update(Collection<List<Node>> free, long now) {
    Set<String> idle = new HashSet<>();
    free.forEach(nodes -> nodes.forEach(node -> idle.add(node.id())));
    since.keySet().retainAll(idle);
    idle.forEach(id -> since.putIfAbsent(id, now));
  }

  boolean isIdleTooLong(Node node, long now) {
    Long idleSince = since.get(node.id());
    return idleSince != null && now - idleSince >= MAX_IDLE_NANOS;
  }
}
