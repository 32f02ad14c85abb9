package org.fawnvale.core.planning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Policy;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.planning.PlannerSettings.Feature;

/**
 * Computes a plan as a pure function of the domains, the reports of their nodes and the bundle.
 *
 * <p>A plan contains the changes to make now. The planner drains a replica that can still serve
 * before it changes it; a later call makes the change when the replica has no requests left.
 */
public final class Planner {

  private final PlanInput input;
  private final Bundle bundle;
  private final PlannerSettings settings;
  private final NodeHealth health;
  private final List<DomainDraft> drafts = new ArrayList<>();
  private final List<String> steps = new ArrayList<>();
  private final Set<String> replacedReplicas = new HashSet<>();
  private final Map<String, List<String>> nodesOfDomain = new HashMap<>();
  private int rebuilding;

  private Planner(PlanInput input) {
    this.input = input;
    this.bundle = input.bundle();
    this.settings = input.settings();
    this.health = new NodeHealth(input.nodes(), settings.graceMillis());
    input.domains().forEach(domain -> drafts.add(new DomainDraft(domain)));
    input.nodes().values().stream()
        .sorted(Comparator.comparing(view -> view.node().name()))
        .forEach(
            view ->
                nodesOfDomain
                    .computeIfAbsent(view.node().domain(), name -> new ArrayList<>())
                    .add(view.node().name()));
  }

  /**
   * Computes a plan.
   *
   * @param input the complete input
   * @return the plan; empty when so many nodes are silent that the input is not trustworthy
   */
  public static Plan plan(PlanInput input) {
    Planner planner = new Planner(input);
    if (input.settings().areTooManySilent(input.nodes().values())) {
      return new Plan(List.of(), List.of(), false);
    }
    return planner.compute();
  }

  private Plan compute() {
    rebuilding = (int) allReplicas().filter(this::isLoading).count();
    for (DomainDraft draft : drafts) {
      for (Replica replica : draft.replicas()) {
        if (draft.has(replica)) {
          review(draft, replica);
        }
      }
    }
    requiredRoles().forEach(role -> fill(role, role.replicasPerDataCentre()));
    requiredRoles().forEach(role -> fill(role, maximumReplicas(role)));
    List<DomainState> changed = new ArrayList<>();
    drafts.forEach(draft -> draft.result(input.operation()).ifPresent(changed::add));
    return new Plan(changed, steps, isComplete());
  }

  private void review(DomainDraft draft, Replica replica) {
    Optional<Role> role = requiredRole(replica);
    List<String> lost = replica.members().stream().filter(health::isLost).toList();
    if (role.isEmpty()) {
      retire(draft, replica, "the bundle no longer requires it");
    } else if (!lost.isEmpty()) {
      repair(draft, replica, role.get(), lost);
    } else if (replica.draining()) {
      finishDraining(draft, replica, role.get());
    } else if (replica.members().stream().anyMatch(health::isLeaving)) {
      drain(draft, replica, "a member is leaving");
    } else if (input.rolling() && !versionOf(role.get()).equals(replica.version())) {
      upgrade(draft, replica, role.get());
    } else if (isSurplus(replica, role.get(), maximumReplicas(role.get()))) {
      retire(draft, replica, "the bundle requires fewer replicas");
    }
  }

  private void retire(DomainDraft draft, Replica replica, String cause) {
    if (replica.draining() && !health.isDrained(replica)) {
      return;
    }
    if (replica.draining() || !health.mayBeServing(replica)) {
      draft.remove(replica);
      addStep("Replica " + replica.id() + " is removed, because " + cause + ".");
    } else {
      drain(draft, replica, cause);
    }
  }

  private void drain(DomainDraft draft, Replica replica, String cause) {
    draft.drain(replica);
    addStep("Replica " + replica.id() + " is drained, because " + cause + ".");
  }

  private void repair(DomainDraft draft, Replica replica, Role role, List<String> lost) {
    if (lost.stream().noneMatch(health::isGracePeriodOver)) {
      return;
    }
    if (!settings.uses(Feature.REBUILD_IN_PLACE)) {
      draft.remove(replica);
      addStep("Replica " + replica.id() + " is disbanded, because " + lost + " are lost.");
      return;
    }
    boolean extra = isSurplus(replica, role, role.replicasPerDataCentre());
    if (extra || rebuild(draft, replica, role, lost)) {
      retireBrokenExtra(draft, replica, extra);
      return;
    }
    if (!preemptExtras(draft, role, replica.members().size() - lost.size())) {
      consolidate(draft);
    }
  }

  /**
   * Disbands the broken replica with the fewest reachable members if these, with the spare nodes,
   * suffice to complete the broken replica with the most reachable members.
   */
  private void consolidate(DomainDraft draft) {
    List<Replica> broken =
        draft.replicas().stream()
            .filter(replica -> replica.members().stream().anyMatch(health::isGracePeriodOver))
            .filter(replica -> requiredRole(replica).isPresent())
            .sorted(Comparator.comparingLong(this::survivors).thenComparing(Replica::id))
            .toList();
    if (broken.size() < 2) {
      return;
    }
    Replica worst = broken.get(0);
    Replica best = broken.get(broken.size() - 1);
    long missingNodes = best.members().size() - survivors(best) - spares(draft, "").size();
    if (survivors(worst) >= missingNodes) {
      draft.remove(worst);
      addStep(
          "Replica " + worst.id() + " is disbanded, because its nodes complete " + best.id() + ".");
    }
  }

  private long survivors(Replica replica) {
    return replica.members().stream().filter(node -> !health.isLost(node)).count();
  }

  /** Disbands a broken extra replica, so that its nodes can join the required replicas. */
  private void retireBrokenExtra(DomainDraft draft, Replica replica, boolean extra) {
    if (extra) {
      draft.remove(replica);
      addStep("Extra replica " + replica.id() + " is disbanded, because a member is lost.");
    }
  }

  /**
   * Drains extra replicas of the domain, the smallest first, to free nodes for a required replica.
   *
   * <p>It drains them only if the weighted cost of an incomplete replica is higher than the cost of
   * the nodes that would be left over. Returns true when extra replicas are draining.
   */
  private boolean preemptExtras(DomainDraft draft, Role role, int remainingMembers) {
    if (!settings.uses(Feature.PREEMPT_EXTRAS)) {
      return false;
    }
    if (draft.replicas().stream().anyMatch(Replica::draining)) {
      return true;
    }
    int missingNodes = role.nodesPerReplica() - remainingMembers - spares(draft, "").size();
    List<Replica> preempted = extrasToPreempt(draft, missingNodes);
    int freedNodes = preempted.stream().mapToInt(each -> each.members().size()).sum();
    if (freedNodes < missingNodes
        || !isPreemptionWorthwhile(role, remainingMembers, freedNodes - missingNodes)) {
      return false;
    }
    preempted.forEach(each -> drain(draft, each, "a replica of " + role.name() + " lacks nodes"));
    return true;
  }

  private List<Replica> extrasToPreempt(DomainDraft draft, int missingNodes) {
    List<Replica> extras =
        draft.replicas().stream()
            .filter(this::isExtra)
            .sorted(Comparator.comparingInt(each -> each.members().size()))
            .toList();
    List<Replica> preempted = new ArrayList<>();
    int freedNodes = 0;
    for (Replica extra : extras) {
      if (freedNodes < missingNodes) {
        preempted.add(extra);
        freedNodes += extra.members().size();
      }
    }
    return preempted;
  }

  private boolean isPreemptionWorthwhile(Role role, int remainingMembers, int leftOverNodes) {
    Policy weights = bundle.policy();
    double costOfWaiting =
        weights.downtimeWeight() * role.nodesPerReplica()
            + weights.strandedWeight() * remainingMembers;
    return costOfWaiting > weights.strandedWeight() * leftOverNodes;
  }

  private boolean isExtra(Replica replica) {
    return requiredRole(replica)
        .filter(role -> isSurplus(replica, role, role.replicasPerDataCentre()))
        .isPresent();
  }

  /**
   * Replaces lost and leaving members by spare nodes. Returns false and changes nothing when too
   * many replicas are being rebuilt or there are too few spare nodes.
   */
  private boolean rebuild(
      DomainDraft draft, Replica replica, Role role, Collection<String> replaced) {
    if (rebuilding >= settings.maximumRebuilding()) {
      return false;
    }
    String version = targetVersion(replica, role);
    List<String> kept =
        replica.members().stream()
            .filter(node -> !replaced.contains(node) && !health.isLeaving(node))
            .toList();
    int needed = role.nodesPerReplica() - kept.size();
    List<String> spares = spares(draft, weights(role.model(), version));
    if (spares.size() < needed) {
      return false;
    }
    List<String> members = new ArrayList<>(kept);
    members.addAll(spares.subList(0, needed));
    put(draft, Optional.of(replica), role, version, members);
    addStep("Replica " + replica.id() + " is rebuilt without " + replaced + ".");
    return true;
  }

  private int maximumReplicas(Role role) {
    int extra = settings.uses(Feature.EXTRAS) ? role.extraReplicas() : 0;
    return role.replicasPerDataCentre() + extra;
  }

  private void finishDraining(DomainDraft draft, Replica replica, Role role) {
    if (!health.isDrained(replica)) {
      return;
    }
    List<String> leaving = replica.members().stream().filter(health::isLeaving).toList();
    if (leaving.isEmpty() && otherActiveReplicas(replica) >= role.replicasPerDataCentre()) {
      draft.remove(replica);
      addStep("Extra replica " + replica.id() + " is disbanded.");
      return;
    }
    if (rebuild(draft, replica, role, leaving) || leaving.isEmpty()) {
      return;
    }
    draft.remove(replica);
    addStep(
        "Replica "
            + replica.id()
            + " is disbanded, because no spare node can replace "
            + leaving
            + ".");
  }

  private long otherActiveReplicas(Replica replica) {
    return allReplicas()
        .filter(each -> each.role().equals(replica.role()) && !each.id().equals(replica.id()))
        .filter(each -> !each.draining())
        .count();
  }

  private void upgrade(DomainDraft draft, Replica replica, Role role) {
    boolean serving = health.isServing(replica);
    if (!serving) {
      rebuild(draft, replica, role, List.of());
      return;
    }
    long others =
        allReplicas()
            .filter(each -> each.role().equals(role.name()) && !each.id().equals(replica.id()))
            .filter(each -> health.isServing(each) && !each.draining())
            .count();
    boolean changing =
        allReplicas()
            .filter(each -> each.role().equals(role.name()))
            .anyMatch(each -> each.draining() || isLoading(each));
    if (!changing && others >= role.minimumReady()) {
      drain(draft, replica, "version " + versionOf(role) + " is being rolled out");
    }
  }

  /**
   * Returns false when a new replica of the role would be an extra one while a required replica is
   * missing or has an unreachable member. It would take the nodes that the required replica waits
   * for, and their weights.
   */
  private boolean mayForm(DomainDraft draft, Role role) {
    boolean extra = existingReplicas(role) >= role.replicasPerDataCentre();
    return !extra
        || requiredRoles().stream()
                .allMatch(each -> existingReplicas(each) >= each.replicasPerDataCentre())
            && draft.replicas().stream()
                .noneMatch(
                    replica ->
                        !isExtra(replica) && replica.members().stream().anyMatch(health::isLost));
  }

  private void fill(Role role, int targetCount) {
    while (existingReplicas(role) < targetCount) {
      if (rebuilding >= settings.maximumRebuilding()) {
        return;
      }
      Optional<DomainDraft> draft = domainFor(role);
      if (draft.isEmpty()) {
        if (existingReplicas(role) < role.replicasPerDataCentre()) {
          preemptForMissing(role);
        }
        return;
      }
      String version = versionOf(role);
      List<String> members =
          spares(draft.get(), weights(role.model(), version)).subList(0, role.nodesPerReplica());
      Replica replica = put(draft.get(), Optional.empty(), role, version, members);
      addStep("Replica " + replica.id() + " is formed from " + members + ".");
    }
  }

  private void preemptForMissing(Role role) {
    for (DomainDraft draft : drafts) {
      if (preemptExtras(draft, role, 0)) {
        return;
      }
    }
  }

  /**
   * Selects the domain for a new replica: among those with enough spare nodes, the one where the
   * fewest members have to load weights, then the one with the fewest spare nodes.
   */
  private Optional<DomainDraft> domainFor(Role role) {
    String requiredWeights = weights(role.model(), versionOf(role));
    Comparator<DomainDraft> order =
        settings.uses(Feature.PREFER_LOADED)
            ? Comparator.comparingInt((DomainDraft draft) -> loads(draft, role, requiredWeights))
                .thenComparingInt(draft -> spares(draft, requiredWeights).size())
            : Comparator.comparingInt(drafts::indexOf);
    return drafts.stream()
        .filter(draft -> spares(draft, requiredWeights).size() >= role.nodesPerReplica())
        .filter(draft -> mayForm(draft, role))
        .min(order);
  }

  private int loads(DomainDraft draft, Role role, String requiredWeights) {
    return (int)
        spares(draft, requiredWeights).subList(0, role.nodesPerReplica()).stream()
            .filter(node -> !input.nodes().get(node).holds(requiredWeights))
            .count();
  }

  private Replica put(
      DomainDraft draft, Optional<Replica> old, Role role, String version, List<String> members) {
    Replica replica = draft.put(old, role.name(), role.model(), version, members);
    replacedReplicas.add(replica.id());
    rebuilding++;
    return replica;
  }

  /** Returns the domain's usable nodes outside all replicas, the preferred ones first. */
  private List<String> spares(DomainDraft draft, String requiredWeights) {
    Comparator<NodeView> order =
        Comparator.comparing((NodeView view) -> !view.holds(requiredWeights))
            .thenComparingInt(NodeView::failures);
    List<NodeView> free = new ArrayList<>();
    for (String name : nodesOfDomain.getOrDefault(draft.domain(), List.of())) {
      NodeView view = input.nodes().get(name);
      boolean fit = view.isAlive() && !view.node().leaving() && view.node().service() == null;
      if (fit && drafts.stream().noneMatch(each -> each.isAssigned(name))) {
        free.add(view);
      }
    }
    if (settings.uses(Feature.PREFER_LOADED)) {
      free.sort(order);
    }
    return free.stream().map(view -> view.node().name()).toList();
  }

  private boolean isSurplus(Replica replica, Role role, int targetCount) {
    List<Replica> same =
        allReplicas()
            .filter(each -> each.role().equals(role.name()) && !each.draining())
            .sorted(
                Comparator.comparing((Replica each) -> !health.isServing(each))
                    .thenComparing(Replica::generation))
            .toList();
    return same.indexOf(replica) >= targetCount;
  }

  /**
   * Returns true while a replica is being built: all members are reachable, but not all are ready.
   */
  private boolean isLoading(Replica replica) {
    return replacedReplicas.contains(replica.id())
        || !replica.draining()
            && !health.isServing(replica)
            && replica.members().stream().noneMatch(health::isLost);
  }

  private Optional<Role> requiredRole(Replica replica) {
    return bundle
        .role(replica.role())
        .filter(role -> role.runsIn(input.dataCentre()))
        .filter(role -> role.model().equals(replica.model()))
        .filter(role -> role.nodesPerReplica() == replica.members().size());
  }

  private List<Role> requiredRoles() {
    return bundle.roles().stream()
        .filter(role -> role.runsIn(input.dataCentre()))
        .sorted(Comparator.comparingInt(Role::nodesPerReplica).reversed())
        .toList();
  }

  private long existingReplicas(Role role) {
    return allReplicas()
        .filter(replica -> requiredRole(replica).filter(role::equals).isPresent())
        .count();
  }

  private String targetVersion(Replica replica, Role role) {
    return input.rolling() ? versionOf(role) : replica.version();
  }

  private String versionOf(Role role) {
    return bundle.model(role.model()).map(Model::fullVersion).orElse("");
  }

  private boolean isComplete() {
    return requiredRoles().stream()
            .allMatch(role -> existingReplicas(role) >= role.replicasPerDataCentre())
        && allReplicas()
            .allMatch(
                replica ->
                    health.isServing(replica)
                        && !replica.draining()
                        && bundle
                            .role(replica.role())
                            .filter(role -> versionOf(role).equals(replica.version()))
                            .isPresent());
  }

  private Stream<Replica> allReplicas() {
    return drafts.stream().flatMap(draft -> draft.replicas().stream());
  }

  private void addStep(String step) {
    steps.add(step);
  }

  private static String weights(String model, String version) {
    return model + "@" + version;
  }
}
