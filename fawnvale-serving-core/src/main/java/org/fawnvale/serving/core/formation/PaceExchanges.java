package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.NodePaces;
import org.fawnvale.serving.core.pace.PaceView;

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

  /** Tells whether a group may be dissolved for the sake of another model. */
  boolean mayChangeModel(ObservedGroup group, PaceView paces, long now) {
    return !PaceCounts.isSlow(group, paces) && mayExchange(group, now);
  }

  /**
   * Returns the groups that may be dissolved for pace, by fabric domain.
   *
   * @param stable the groups that are neither being formed nor dissolved
   * @param busy domains of the plan in which groups are being formed or exchanged
   */
  Map<String, List<ObservedGroup>> candidates(
      List<ObservedGroup> stable, EngineSpec engine, NodePaces paces, Set<String> busy, long now) {
    Map<String, List<ObservedGroup>> candidates = new HashMap<>();
    for (ObservedGroup group : stable) {
      String domain = PaceDomains.fabric(group.members().get(0).domain());
      boolean isBusy = busy.contains(domain) || busy.contains(PaceDomains.slowPart(domain));
      if (!isBusy && PaceExchangePolicy.isMixed(group, engine, paces) && mayExchange(group, now)) {
        candidates.computeIfAbsent(domain, name -> new ArrayList<>()).add(group);
      }
    }
    return candidates;
  }

  /**
   * Begins the exchanges that gain and that the bounds allow.
   *
   * @param choice finds the exchange of a domain
   * @param candidates the groups that may be dissolved, by fabric domain
   * @param free the free nodes, by domain of the plan
   * @param serving the number of groups of each model that serve
   * @return the exchanges by fabric domain
   */
  Map<String, PaceExchangePolicy.Plan> begin(
      PaceExchangePolicy choice,
      Map<String, List<ObservedGroup>> candidates,
      Map<String, List<Node>> free,
      Map<String, Integer> serving,
      long now) {
    Map<String, Integer> left = new HashMap<>(serving);
    Map<String, PaceExchangePolicy.Plan> begun = new LinkedHashMap<>();
    for (String domain : nextDomains(candidates.keySet())) {
      List<ObservedGroup> mixed = candidates.getOrDefault(domain, List.of());
      PaceExchangePolicy.Plan plan = choice.plan(free.getOrDefault(domain, List.of()), mixed);
      if (plan != null) {
        List<String> models = plan.victims().stream().map(choice::modelName).toList();
        if (leavesEnough(models, left)) {
          models.forEach(model -> left.merge(model, -1, Integer::sum));
          begin(plan, models, now);
          begun.put(domain, plan);
        }
      }
    }
    return begun;
  }

  private void begin(PaceExchangePolicy.Plan plan, List<String> models, long now) {
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
