package org.fawnvale.core.planning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Replica;

/** A domain's state while a plan is being made. */
final class DomainDraft {

  private final DomainState before;
  private final List<Replica> replicas;
  private final Set<String> taken = new HashSet<>();
  private long lastGeneration;
  private boolean changed;

  DomainDraft(DomainState before) {
    this.before = before;
    this.replicas = new ArrayList<>(before.replicas());
    this.lastGeneration = before.lastGeneration();
    replicas.forEach(replica -> taken.addAll(replica.members()));
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

  boolean isTaken(String node) {
    return taken.contains(node);
  }

  void drain(Replica replica) {
    replicas.replaceAll(each -> each.equals(replica) ? replica.asDraining() : each);
    changed = true;
  }

  void remove(Replica replica) {
    replicas.remove(replica);
    taken.removeAll(replica.members());
    changed = true;
  }

  /** Puts a replica in place of another, or adds it, under the next generation. */
  Replica put(
      Optional<Replica> old, String role, String model, String version, List<String> members) {
    old.ifPresent(this::remove);
    lastGeneration++;
    String id = old.map(Replica::id).orElse(role + "-" + lastGeneration);
    Replica next = new Replica(id, role, model, version, lastGeneration, members, false);
    replicas.add(next);
    taken.addAll(members);
    changed = true;
    return next;
  }

  Optional<DomainState> result(String operation) {
    if (!changed) {
      return Optional.empty();
    }
    return Optional.of(
        new DomainState(before.dataCentre(), before.domain(), lastGeneration, replicas, operation));
  }
}
