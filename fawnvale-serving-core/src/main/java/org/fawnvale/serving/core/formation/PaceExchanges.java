package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.Node;

/**
 * Bounds the exchanges for pace: how often nodes change their group, and how many groups at once.
 */
final class PaceExchanges {

  /** The shortest time between two exchanges of a node's group. */
  private static final long INTERVAL_NANOS = 5_000_000_000L;

  /** How many domains one plan considers: each costs about 0.2 ms. */
  private static final int DOMAINS_PER_PLAN = 4;

  private final Map<String, Long> exchangedNanos = new HashMap<>();
  private final Map<GroupKey, String> dissolving = new HashMap<>();
  private String lastDomain = "";
  private int count;
  private double nodesGained;

  /** Discards nodes that are not listed, and groups that are dissolved. */
  void update(Set<String> listed, Predicate<GroupKey> isFree) {
    exchangedNanos.keySet().retainAll(listed);
    dissolving.keySet().removeIf(isFree);
  }

  /** Returns the domains that the current plan considers; successive plans consider all in turn. */
  List<String> nextDomains(Set<String> domains) {
    List<String> next = new ArrayList<>();
    NavigableSet<String> sorted = new TreeSet<>(domains);
    next.addAll(sorted.tailSet(lastDomain, false));
    next.addAll(sorted.headSet(lastDomain, true));
    List<String> first = List.copyOf(next.subList(0, Math.min(DOMAINS_PER_PLAN, next.size())));
    lastDomain = first.isEmpty() ? lastDomain : first.get(first.size() - 1);
    return first;
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

  /** Records that groups are dissolved for an exchange of any kind. */
  void recordExchange(List<ObservedGroup> victims, long now) {
    for (ObservedGroup group : victims) {
      group.members().forEach(node -> exchangedNanos.put(node.id(), now));
    }
  }

  void begin(PaceExchangePolicy.Plan plan, List<String> models, long now) {
    for (int index = 0; index < plan.victims().size(); index++) {
      dissolving.put(plan.victims().get(index).key(), models.get(index));
    }
    recordExchange(plan.victims(), now);
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
