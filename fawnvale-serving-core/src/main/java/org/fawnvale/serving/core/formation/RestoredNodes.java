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
 * former life. What is known is later, so it goes before: that a life leaves, or that a later one
 * has begun, until the entry is written anew or lapses; that an entry had gone until entries of the
 * dead have lapsed. That time is counted by the store's answers: while it is away again nobody can
 * write, and nothing lapses. Groups are taken as the copy shows them; leaders ask nodes for reports
 * before they act, and an older place in a group is found out sooner than one that is held on to.
 */
public final class RestoredNodes {

  /** Entries of nodes that don't write lapse after three heartbeats of 1.2 s. */
  private static final long LAPSE_NANOS = 5_000_000_000L;

  private final Map<String, Retained> retained = new HashMap<>();

  /**
   * What was known of a node.
   *
   * @param known the node as it was known; null when its entry had gone
   * @param listedAt the place of its entry in the copy that the store came back from
   * @param sinceNanos when this daemon saw that the store had gone back
   */
  private record Retained(@Nullable Node known, StorePlace listedAt, long sinceNanos) {}

  /**
   * Takes note that the store has gone back.
   *
   * @param known the nodes that were listed before, by id
   * @param gone ids of nodes whose entries had gone before
   * @param listed the nodes that are listed now, by id
   * @param places the place of each listed entry, by id
   * @param nowNanos the steady time
   */
  public void storeRolledBack(
      Map<String, Node> known,
      Set<String> gone,
      Map<String, Node> listed,
      Map<String, StorePlace> places,
      long nowNanos) {
    Map<String, Retained> before = new HashMap<>(retained);
    retained.clear();
    for (Node node : listed.values()) {
      Retained earlier = before.get(node.id());
      Node last = lastKnown(earlier, known.get(node.id()));
      boolean wasGone = last == null && (earlier != null || gone.contains(node.id()));
      if (wasGone || last != null && isLater(last, node)) {
        retained.put(node.id(), new Retained(last, places.get(node.id()), nowNanos));
      }
    }
  }

  /** What was held on to goes before what was listed, unless a later life was listed since. */
  private static @Nullable Node lastKnown(@Nullable Retained earlier, @Nullable Node listedBefore) {
    Node last = earlier == null ? listedBefore : earlier.known();
    boolean isNewer =
        last != null && listedBefore != null && isLaterIncarnation(listedBefore, last);
    return isNewer ? listedBefore : last;
  }

  private static boolean isLater(Node known, Node listed) {
    boolean startedDraining =
        known.draining() && !listed.draining() && known.life().equals(listed.life());
    return startedDraining || isLaterIncarnation(known, listed);
  }

  private static boolean isLaterIncarnation(Node known, Node listed) {
    return known.life().startedMillis() > listed.life().startedMillis();
  }

  /**
   * Puts what was known in the place of what the store has gone back to.
   *
   * @param listed the nodes that are listed, by id
   * @param places the place of each listed entry, by id
   * @param answeredNanos when the store answered last, by the steady clock
   * @return the nodes as they are to be taken
   */
  public Collection<Node> complete(
      Map<String, Node> listed, Map<String, StorePlace> places, long answeredNanos) {
    if (retained.isEmpty()) {
      return listed.values();
    }
    retained
        .entrySet()
        .removeIf(entry -> isRewritten(entry.getValue(), places.get(entry.getKey())));
    retained.values().removeIf(entry -> hasOutlivedLapse(entry, answeredNanos));
    Collection<Node> completed = new ArrayList<>();
    for (Node node : listed.values()) {
      Retained entry = retained.get(node.id());
      Node shown = entry == null ? node : shown(entry, node);
      if (shown != null) {
        completed.add(shown);
      }
    }
    return completed;
  }

  private static boolean isRewritten(Retained entry, @Nullable StorePlace place) {
    return place == null || !place.equals(entry.listedAt());
  }

  /** An entry that had gone is there still, though those of the dead have lapsed by now. */
  private static boolean hasOutlivedLapse(Retained entry, long answeredNanos) {
    return entry.known() == null && answeredNanos - entry.sinceNanos() >= LAPSE_NANOS;
  }

  private static @Nullable Node shown(Retained entry, Node listed) {
    Node known = entry.known();
    if (known == null) {
      return null;
    }
    return isLaterIncarnation(known, listed) ? known : listed.asDraining();
  }

  /**
   * Tells whether what is shown may change with time alone.
   *
   * @return false when all that is held on to holds until it is written anew or lapses
   */
  public boolean changesWithTime() {
    return retained.values().stream().anyMatch(entry -> entry.known() == null);
  }
}
