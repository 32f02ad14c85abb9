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
 * What the store lists while it goes back, again and again, to a copy of up to eight seconds ago:
 * each node shows as it was then until it has written again, which takes it up to two seconds, and
 * entries of nodes that don't write lapse.
 */
final class RollbackStore {

  private static final long MILLI = SimulatedNodes.MILLI;
  private static final long LAPSE_NANOS = 3_600 * MILLI;
  private static final int KEPT_STEPS = 160;
  private static final int STEPS_BETWEEN = 120;
  private static final int WRITES_AGAIN_MILLIS = 2_000;

  private final Random random;
  private final Deque<Map<String, Node>> past = new ArrayDeque<>();
  private final Map<String, StorePosition> places = new HashMap<>();
  private final Map<String, Long> writesAgainAt = new HashMap<>();
  private Map<String, Node> copy = Map.of();
  private Map<String, Node> shown = Map.of();
  private long wentBackAt;
  private long era = 1;
  private long revision;

  RollbackStore(Random random) {
    this.random = random;
  }

  /** Moves on to what nodes write now. */
  void advance(List<Node> written, long now) {
    Map<String, Node> present = new LinkedHashMap<>();
    written.forEach(node -> present.put(node.id(), node));
    past.addLast(present);
    if (past.size() > KEPT_STEPS) {
      past.removeFirst();
    }
    if (random.nextInt(STEPS_BETWEEN) == 0) {
      goBack(now);
    }
    show(present, now);
  }

  private void goBack(long now) {
    List<Map<String, Node>> states = List.copyOf(past);
    copy = states.get(random.nextInt(states.size()));
    wentBackAt = now;
    era++;
    revision = Math.max(0, revision - random.nextInt(40));
    writesAgainAt.clear();
    Set<String> ids = new HashSet<>(copy.keySet());
    ids.addAll(states.get(states.size() - 1).keySet());
    ids.forEach(id -> writesAgainAt.put(id, now + random.nextInt(WRITES_AGAIN_MILLIS) * MILLI));
    copy.keySet().forEach(id -> places.put(id, nextPlace()));
  }

  private StorePosition nextPlace() {
    revision++;
    return new StorePosition(new StoreEra(era), revision);
  }

  private void show(Map<String, Node> present, long now) {
    Map<String, Node> next = new LinkedHashMap<>();
    Set<String> ids = new HashSet<>(copy.keySet());
    ids.addAll(present.keySet());
    for (String id : ids) {
      boolean isOld = writesAgainAt.containsKey(id) && now < writesAgainAt.get(id);
      boolean lapses = !present.containsKey(id) && now - wentBackAt < LAPSE_NANOS;
      Node node = isOld || lapses ? copy.get(id) : present.get(id);
      boolean writes = writesAgainAt.containsKey(id) && !isOld && !lapses;
      if (writes) {
        writesAgainAt.remove(id);
      }
      if (node != null) {
        next.put(id, node);
        if (writes || !Objects.equals(node, shown.get(id)) && !isOld && !lapses) {
          places.put(id, nextPlace());
        }
        places.computeIfAbsent(id, name -> nextPlace());
      }
    }
    places.keySet().retainAll(next.keySet());
    shown = next;
  }

  /** The nodes that are listed, by id. */
  Map<String, Node> listed() {
    return shown;
  }

  /** The place of each listed entry, by id. */
  Map<String, StorePosition> places() {
    return places;
  }

  /** Which of its histories the store is in. */
  long era() {
    return era;
  }
}
