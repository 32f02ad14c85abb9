package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/** Tells during a plan which nodes are free and which groups are stable, formed or dissolved. */
final class PlanState {

  private final OrderTracker tracker;
  private final Assembler assembler;
  private final Dissolver dissolver;
  private final Exchanges exchanges;
  private Map<GroupKey, ObservedGroup> groups = Map.of();
  private Predicate<String> reachable = dataCentre -> true;
  private Set<GroupKey> evacuated = Set.of();

  PlanState(OrderTracker tracker, Assembler assembler, Dissolver dissolver, Exchanges exchanges) {
    this.tracker = tracker;
    this.assembler = assembler;
    this.dissolver = dissolver;
    this.exchanges = exchanges;
  }

  /**
   * Sets what the plan works on.
   *
   * @param listed the listed groups
   * @param plannedDataCentres the data centres that can be reached and are not evacuated
   * @param evacuatedAttempts the groups that are being formed in evacuated data centres, which do
   *     not count
   */
  void update(
      Map<GroupKey, ObservedGroup> listed,
      Predicate<String> plannedDataCentres,
      Set<GroupKey> evacuatedAttempts) {
    groups = listed;
    reachable = plannedDataCentres;
    evacuated = evacuatedAttempts;
  }

  Map<String, List<Node>> free(Map<String, Node> nodes, long now) {
    Set<String> taken = new HashSet<>(assembler.assignedNodes());
    taken.addAll(dissolver.occupiedNodes(now));
    for (ObservedGroup group : groups.values()) {
      if (!dissolver.isFree(group.key(), now)) {
        taken.addAll(GroupPlanner.ids(group.members()));
      }
    }
    Map<String, List<Node>> free = new LinkedHashMap<>();
    nodes.values().stream()
        .filter(node -> !node.draining() && !taken.contains(node.id()))
        .filter(node -> reachable.test(node.dataCentre()) && !tracker.isPaused(node.id()))
        .filter(
            node -> !tracker.needsLivenessCheck(node.id()) && !tracker.inConflict(node.id(), now))
        .sorted((a, b) -> a.id().compareTo(b.id()))
        .forEach(
            node -> free.computeIfAbsent(node.domain(), domain -> new ArrayList<>()).add(node));
    return free;
  }

  /**
   * Reachable nodes that belong to no stable group, by domain. The nodes of a stalled group are
   * included although one of them is gone: the leader can't tell which one until its entry lapses.
   */
  Map<String, List<Node>> soonFree(Map<String, Node> nodes) {
    Set<String> taken = new HashSet<>(assembler.assignedNodes());
    for (ObservedGroup group : groups.values()) {
      if (isStable(group)) {
        taken.addAll(GroupPlanner.ids(group.members()));
      }
    }
    Map<String, List<Node>> soonFree = new LinkedHashMap<>();
    for (Node node : nodes.values()) {
      boolean counted =
          !node.draining()
              && reachable.test(node.dataCentre())
              && !taken.contains(node.id())
              && !tracker.failedLivenessCheck(node.id())
              && !exchanges.domains().contains(node.domain());
      if (counted) {
        soonFree.computeIfAbsent(node.domain(), domain -> new ArrayList<>()).add(node);
      }
    }
    return soonFree;
  }

  boolean isStable(ObservedGroup group) {
    return !dissolver.handles(group.key())
        && !assembler.handles(group.key())
        && reachable.test(group.members().get(0).dataCentre());
  }

  List<ObservedGroup> reachableStableGroups() {
    return groups.values().stream().filter(this::isStable).toList();
  }

  /**
   * Domains in which a node awaits a liveness check. Groups formed before its result may be worse.
   */
  Set<String> domainsAwaitingLivenessChecks(Map<String, Node> nodes) {
    Set<String> domains = new HashSet<>();
    for (Node node : nodes.values()) {
      if (tracker.awaitsLivenessCheck(node.id())) {
        domains.add(node.domain());
      }
    }
    return domains;
  }

  /** Domains in which groups are being formed or exchanged, or nodes await a liveness check. */
  Set<String> busyDomains(Map<String, Node> nodes) {
    Set<String> busy = domainsAwaitingLivenessChecks(nodes);
    busy.addAll(exchanges.domains());
    for (String id : assembler.assignedNodes()) {
      Node node = nodes.get(id);
      if (node != null) {
        busy.add(node.domain());
      }
    }
    return busy;
  }

  /** Ids of the members of groups that are being formed or dissolved. */
  Set<String> changingNodes() {
    Set<String> changing = new HashSet<>(assembler.assignedNodes());
    for (ObservedGroup group : groups.values()) {
      if (dissolver.handles(group.key())) {
        changing.addAll(GroupPlanner.ids(group.members()));
      }
    }
    return changing;
  }

  /** The listed members of the groups that may serve, also of those that the list lags behind. */
  Map<GroupKey, List<Node>> servingMembers(Map<String, Node> nodes) {
    Map<GroupKey, List<Node>> members = new LinkedHashMap<>();
    for (FormationAttempt attempt : assembler.attempts()) {
      if (attempt.mayServe()) {
        members.put(
            attempt.key,
            attempt.members.stream().map(nodes::get).filter(Objects::nonNull).toList());
      }
    }
    for (ObservedGroup group : groups.values()) {
      if (!dissolver.handles(group.key()) && !assembler.handles(group.key())) {
        members.put(group.key(), group.members());
      }
    }
    return members;
  }

  Map<String, Integer> groupCounts(EngineSpec engine) {
    Map<String, Integer> groupCounts = new HashMap<>();
    for (ObservedGroup group : groups.values()) {
      ModelSpec model = GroupPlanner.modelOf(group, engine);
      boolean counted =
          model != null
              && reachable.test(group.members().get(0).dataCentre())
              && !dissolver.handles(group.key())
              && !assembler.handles(group.key());
      if (counted) {
        groupCounts.merge(model.name(), 1, Integer::sum);
      }
    }
    assembler.attempts().stream()
        .filter(attempt -> !evacuated.contains(attempt.key))
        .forEach(attempt -> groupCounts.merge(attempt.model.name(), 1, Integer::sum));
    exchanges.addTo(groupCounts, engine.models());
    return groupCounts;
  }
}
