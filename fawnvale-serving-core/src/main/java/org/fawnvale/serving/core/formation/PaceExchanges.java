package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.Node;

/**
 * Bounds the exchanges for pace: how often nodes change their group, and how many groups at once.
 */
final class PaceExchanges {

  /** The shortest time between two exchanges of a node's group. */
  private static final long INTERVAL_NANOS = 5_000_000_000L;

  private final Map<String, Long> exchangedNanos = new HashMap<>();
  private final Map<GroupKey, String> dissolving = new HashMap<>();
  private int count;
  private double nodesGained;

  /** Discards nodes that are not listed, and groups that are dissolved. */
  void update(Set<String> listed, Predicate<GroupKey> isFree) {
    exchangedNanos.keySet().retainAll(listed);
    dissolving.keySet().removeIf(isFree);
  }

  /** Tells whether no node of a group was in another exchange recently. */
  boolean mayExchange(ObservedGroup group, long now) {
    for (Node node : group.members()) {
      Long before = exchangedNanos.get(node.id());
      if (before != null && now - before < INTERVAL_NANOS) {
        return false;
      }
    }
    return true;
  }

  /**
   * Tells whether another exchange may begin although others are in progress. At most half of a
   * model's groups are dissolved at a time, so that its callers are still served; a first exchange
   * may dissolve more, since a domain may hold all groups of a model.
   *
   * @param victims the model of each group to dissolve
   * @param serving the groups of each model that serve now
   */
  boolean leavesEnough(List<String> victims, Map<String, Integer> serving) {
    Map<String, Integer> dissolved = new HashMap<>();
    dissolving.values().forEach(model -> dissolved.merge(model, 1, Integer::sum));
    for (String model : new HashSet<>(victims)) {
      int before = dissolved.getOrDefault(model, 0);
      int after = before + (int) victims.stream().filter(model::equals).count();
      if (before > 0 && 2 * after > serving.getOrDefault(model, 0) + before) {
        return false;
      }
    }
    return true;
  }

  void begin(PaceExchangePolicy.Plan plan, List<String> models, long now) {
    for (int index = 0; index < plan.victims().size(); index++) {
      ObservedGroup group = plan.victims().get(index);
      dissolving.put(group.key(), models.get(index));
      group.members().forEach(node -> exchangedNanos.put(node.id(), now));
    }
    count++;
    nodesGained += plan.nodesAfter() - plan.nodesBefore();
  }

  /** Returns how many exchanges were begun. */
  int count() {
    return count;
  }

  /** Returns the expected gain of all exchanges, in nodes of normal pace. */
  double nodesGained() {
    return nodesGained;
  }
}
