package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.watch.StorePlace;
import org.jspecify.annotations.Nullable;

/**
 * What was known of nodes before the store came back from a copy, for as long as they have not
 * written again. The copy shows a node as it was some seconds ago: one that has said since that it
 * leaves shows as ready, one whose entry has gone is there, one that has started again shows its
 * former life. What is known is later, so it goes before: that a life leaves until its entry is
 * written anew, that an entry had gone or a later life had begun until entries of the dead have
 * lapsed. Groups are taken as the copy shows them; leaders ask nodes for reports before they act,
 * and an older place in a group is found out sooner than one that is held on to.
 */
public final class RestoredNodes {

  /** Entries of nodes that don't write lapse after three heartbeats of 1.2 s. */
  private static final long LAPSED_NANOS = 5_000_000_000L;

  private final Map<String, Held> held = new HashMap<>();
  private long timedUntilNanos = Long.MIN_VALUE;

  /**
   * What was known of a node.
   *
   * @param known the node as it was known; null when its entry had gone
   * @param listedAt the place of its entry in the copy that the store came back from
   * @param sinceNanos when this daemon saw that the store had gone back
   */
  private record Held(@Nullable Node known, StorePlace listedAt, long sinceNanos) {}

  /**
   * Takes note that the store has gone back.
   *
   * @param known the nodes that were listed before, by id
   * @param gone ids of nodes whose entries had gone before
   * @param listed the nodes that are listed now, by id
   * @param places the place of each listed entry, by id
   * @param nowNanos the steady time
   */
  public void storeWentBack(
      Map<String, Node> known,
      Set<String> gone,
      Map<String, Node> listed,
      Map<String, StorePlace> places,
      long nowNanos) {
    Map<String, Held> before = new HashMap<>(held);
    held.clear();
    for (Node node : listed.values()) {
      Held earlier = before.get(node.id());
      Node last = earlier == null ? known.get(node.id()) : earlier.known();
      boolean hadGone = last == null && (earlier != null || gone.contains(node.id()));
      if (hadGone || last != null && isLater(last, node)) {
        held.put(node.id(), new Held(last, places.get(node.id()), nowNanos));
        timedUntilNanos = nowNanos + LAPSED_NANOS;
      }
    }
  }

  private static boolean isLater(Node known, Node listed) {
    boolean leaves = known.draining() && !listed.draining() && known.life().equals(listed.life());
    return leaves || hasBegunAnew(known, listed);
  }

  private static boolean hasBegunAnew(Node known, Node listed) {
    return known.life().startedMillis() > listed.life().startedMillis();
  }

  /**
   * Puts what was known in the place of what the store has gone back to.
   *
   * @param listed the nodes that are listed, by id
   * @param places the place of each listed entry, by id
   * @param nowNanos the steady time
   * @return the nodes as they are to be taken
   */
  public Collection<Node> complete(
      Map<String, Node> listed, Map<String, StorePlace> places, long nowNanos) {
    if (held.isEmpty()) {
      return listed.values();
    }
    held.entrySet().removeIf(entry -> isWritten(entry.getValue(), places.get(entry.getKey())));
    Collection<Node> completed = new ArrayList<>();
    for (Node node : listed.values()) {
      Held entry = held.get(node.id());
      Node shown = entry == null ? node : shown(entry, node, nowNanos);
      if (shown != null) {
        completed.add(shown);
      }
    }
    return completed;
  }

  private static boolean isWritten(Held entry, @Nullable StorePlace place) {
    return place == null || !place.equals(entry.listedAt());
  }

  private static @Nullable Node shown(Held entry, Node listed, long nowNanos) {
    Node known = entry.known();
    boolean mayBeDead = nowNanos - entry.sinceNanos() < LAPSED_NANOS;
    if (known == null) {
      return mayBeDead ? null : listed;
    }
    if (hasBegunAnew(known, listed)) {
      return mayBeDead ? known : listed;
    }
    return listed.asDraining();
  }

  /**
   * Tells whether what is shown may change with time alone.
   *
   * @param nowNanos the steady time
   * @return false once all that is held on to holds until it is written anew
   */
  public boolean changesWithTime(long nowNanos) {
    return !held.isEmpty() && nowNanos <= timedUntilNanos;
  }
}
