package org.fawnvale.core.planning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Replica;

/** The mutable state of one fabric domain while the planner computes a plan. */
final class DomainDraft {

  private final DomainState before;
  private final List<Replica> replicas;
  private final Set<String> assignedNodes = new HashSet<>();
  private long lastGeneration;
  private boolean changed;

  DomainDraft(DomainState before) {
    this.before = before;
    this.replicas = new ArrayList<>(before.replicas());
    this.lastGeneration = before.lastGeneration();
    replicas.forEach(replica -> assignedNodes.addAll(replica.members()));
  }

  String domain() {
    return before.domain();
  }

  List<Replica> replicas() {
    return List.copyOf(replicas);
  }

  boolean has(Replica replica) {
    return replicas.contains(replica);
  }

  boolean isAssigned(String node) {
    return assignedNodes.contains(node);
  }

  void drain(Replica replica) {
    replicas.replaceAll(each -> each.equals(replica) ? replica.asDraining() : each);
    changed = true;
  }

  void remove(Replica replica) {
    replicas.remove(replica);
    assignedNodes.removeAll(replica.members());
    changed = true;
  }

  /** Replaces a replica, or adds one, under the next generation; a replacement keeps the id. */
  Replica put(
      Optional<Replica> replaced, String role, String model, String version, List<String> members) {
    replaced.ifPresent(this::remove);
    lastGeneration++;
    String id = replaced.map(Replica::id).orElse(role + "-" + lastGeneration);
    Replica next = new Replica(id, role, model, version, lastGeneration, members, false);
    replicas.add(next);
    assignedNodes.addAll(members);
    changed = true;
    return next;
  }

  /** Returns the new state of the domain, or nothing when the plan changes nothing in it. */
  Optional<DomainState> result(String operation) {
    if (!changed) {
      return Optional.empty();
    }
    return Optional.of(
        new DomainState(before.dataCentre(), before.domain(), lastGeneration, replicas, operation));
  }
}
