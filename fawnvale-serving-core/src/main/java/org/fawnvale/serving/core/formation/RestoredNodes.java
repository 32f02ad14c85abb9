package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.watch.StorePosition;
import org.jspecify.annotations.Nullable;

/**
 * Corrects the list of nodes after the store was rolled back to a copy, until the nodes have
 * written their entries again. The copy shows each node as it was some seconds ago: a node that has
 * started to drain since shows as ready, a deleted entry is present again, and a restarted node
 * shows its former incarnation.
 *
 * <p>What this daemon knew before the rollback is newer and takes precedence. A node that was
 * draining or had restarted is shown so until its entry is rewritten or lapses. An entry that was
 * gone stays hidden until the entries of dead nodes have lapsed. That time is measured up to the
 * last answer of the store, since nodes can't write and nothing lapses during a store outage.
 *
 * <p>Group memberships are taken from the copy: leaders request reports before they act, which
 * corrects an outdated membership sooner than a retained one.
 */
public final class RestoredNodes {

  /**
   * The time after which the entries of dead nodes have lapsed: three heartbeats of 1.2 s, and a
   * margin.
   */
  private static final long LAPSE_NANOS = 5_000_000_000L;

  private final Map<String, Retained> retained = new HashMap<>();

  /**
   * What was known of a node.
   *
   * @param known the node as it was known; null when its entry was gone
   * @param listedPosition the store position of its entry in the copy
   * @param sinceNanos the monotonic time at which this daemon noticed the rollback
   */
  private record Retained(@Nullable Node known, StorePosition listedPosition, long sinceNanos) {}

  /**
   * Records that the store was rolled back to a copy.
   *
   * @param known the nodes that were listed before, by id
   * @param gone ids of nodes whose entries were gone before
   * @param listed the nodes that are listed now, by id
   * @param positions the store position of each listed entry, by id
   * @param nowNanos the monotonic time
   */
  public void storeRolledBack(
      Map<String, Node> known,
      Set<String> gone,
      Map<String, Node> listed,
      Map<String, StorePosition> positions,
      long nowNanos) {
    Map<String, Retained> before = new HashMap<>(retained);
    retained.clear();
    for (Node node : listed.values()) {
      Retained earlier = before.get(node.id());
      Node last = lastKnown(earlier, known.get(node.id()));
      boolean wasGone = last == null && (earlier != null || gone.contains(node.id()));
      if (wasGone || last != null && isLater(last, node)) {
        retained.put(node.id(), new Retained(last, positions.get(node.id()), nowNanos));
      }
    }
  }

  /**
   * What an earlier rollback retained takes precedence over what was listed, unless a later
   * incarnation was listed since.
   */
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
   * Replaces listed nodes by what was known of them.
   *
   * @param listed the nodes that are listed, by id
   * @param positions the store position of each listed entry, by id
   * @param answeredNanos the monotonic time of the store's last answer
   * @return the nodes to use
   */
  public Collection<Node> complete(
      Map<String, Node> listed, Map<String, StorePosition> positions, long answeredNanos) {
    if (retained.isEmpty()) {
      return listed.values();
    }
    retained
        .entrySet()
        .removeIf(entry -> isRewritten(entry.getValue(), positions.get(entry.getKey())));
    retained.values().removeIf(entry -> hasOutlivedLapse(entry, answeredNanos));
    Collection<Node> completed = new ArrayList<>();
    for (Node node : listed.values()) {
      Retained entry = retained.get(node.id());
      Node effectiveNode = entry == null ? node : effectiveNode(entry, node);
      if (effectiveNode != null) {
        completed.add(effectiveNode);
      }
    }
    return completed;
  }

  private static boolean isRewritten(Retained entry, @Nullable StorePosition position) {
    return position == null || !position.equals(entry.listedPosition());
  }

  /**
   * Tells whether an entry that was gone is still listed after the entries of dead nodes have
   * lapsed.
   */
  private static boolean hasOutlivedLapse(Retained entry, long answeredNanos) {
    return entry.known() == null && answeredNanos - entry.sinceNanos() >= LAPSE_NANOS;
  }

  private static @Nullable Node effectiveNode(Retained entry, Node listed) {
    Node known = entry.known();
    if (known == null) {
      return null;
    }
    return isLaterIncarnation(known, listed) ? known : listed.asDraining();
  }

  /**
   * Tells whether {@link #complete} may return different nodes just because time passes.
   *
   * @return false when every retained state lasts until the entry is rewritten or lapses
   */
  public boolean changesWithTime() {
    return retained.values().stream().anyMatch(entry -> entry.known() == null);
  }
}
