package org.fawnvale.serving.core.formation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * A simulated store that repeatedly rolls back to a copy of up to eight seconds ago. Each node is
 * listed as in the copy until it writes again, after up to two seconds; entries of nodes that don't
 * write lapse.
 */
final class RollbackStore {

  private static final long MILLI = SimulatedNodes.MILLI;
  private static final long LAPSE_NANOS = 3_600 * MILLI;
  private static final int MAX_HISTORY_STEPS = 160;
  private static final int MEAN_STEPS_BETWEEN_ROLLBACKS = 120;
  private static final int MAX_REWRITE_DELAY_MILLIS = 2_000;

  private final Random random;
  private final Deque<Map<String, Node>> history = new ArrayDeque<>();
  private final Map<String, StorePosition> places = new HashMap<>();
  private final Map<String, Long> rewrittenAt = new HashMap<>();
  private Map<String, Node> copy = Map.of();
  private Map<String, Node> listed = Map.of();
  private long rolledBackAt;
  private long era = 1;
  private long revision;

  RollbackStore(Random random) {
    this.random = random;
  }

  /** Advances to the entries that nodes write now. */
  void advance(List<Node> written, long now) {
    Map<String, Node> present = new LinkedHashMap<>();
    written.forEach(node -> present.put(node.id(), node));
    history.addLast(present);
    if (history.size() > MAX_HISTORY_STEPS) {
      history.removeFirst();
    }
    if (random.nextInt(MEAN_STEPS_BETWEEN_ROLLBACKS) == 0) {
      rollBack(now);
    }
    updateList(present, now);
  }

  private void rollBack(long now) {
    List<Map<String, Node>> states = List.copyOf(history);
    copy = states.get(random.nextInt(states.size()));
    rolledBackAt = now;
    era++;
    revision = Math.max(0, revision - random.nextInt(40));
    rewrittenAt.clear();
    Set<String> ids = new HashSet<>(copy.keySet());
    ids.addAll(states.get(states.size() - 1).keySet());
    ids.forEach(id -> rewrittenAt.put(id, now + random.nextInt(MAX_REWRITE_DELAY_MILLIS) * MILLI));
    copy.keySet().forEach(id -> places.put(id, nextPlace()));
  }

  private StorePosition nextPlace() {
    revision++;
    return new StorePosition(new StoreEra(era), revision);
  }

  private void updateList(Map<String, Node> present, long now) {
    Map<String, Node> next = new LinkedHashMap<>();
    Set<String> ids = new HashSet<>(copy.keySet());
    ids.addAll(present.keySet());
    for (String id : ids) {
      boolean isStale = rewrittenAt.containsKey(id) && now < rewrittenAt.get(id);
      boolean lapses = !present.containsKey(id) && now - rolledBackAt < LAPSE_NANOS;
      Node node = isStale || lapses ? copy.get(id) : present.get(id);
      boolean isRewritten = rewrittenAt.containsKey(id) && !isStale && !lapses;
      if (isRewritten) {
        rewrittenAt.remove(id);
      }
      if (node != null) {
        next.put(id, node);
        if (isRewritten || !Objects.equals(node, listed.get(id)) && !isStale && !lapses) {
          places.put(id, nextPlace());
        }
        places.computeIfAbsent(id, name -> nextPlace());
      }
    }
    places.keySet().retainAll(next.keySet());
    listed = next;
  }

  /** The listed nodes, by id. */
  Map<String, Node> listed() {
    return listed;
  }

  /** The store position of each listed entry, by id. */
  Map<String, StorePosition> places() {
    return places;
  }

  /** The era of the store, which increases with each rollback. */
  long era() {
    return era;
  }
}
