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
 * Makes a plan: a pure function of the domains, the evidence on their nodes and the bundle.
 *
 * <p>Each call makes the changes that are due now. A replica that is to be changed while it can
 * still serve is drained first and changed by a later call, once nothing runs there.
 */
public final class Planner {

  private final PlanInput input;
  private final Bundle bundle;
  private final PlannerSettings settings;
  private final NodeFacts facts;
  private final List<DomainDraft> drafts = new ArrayList<>();
  private final List<String> steps = new ArrayList<>();
  private final Set<String> touched = new HashSet<>();
  private final Map<String, List<String>> nodesOfDomain = new HashMap<>();
  private int rebuilding;

  private Planner(PlanInput input) {
    this.input = input;
    this.bundle = input.bundle();
    this.settings = input.settings();
    this.facts = new NodeFacts(input.nodes(), settings.graceMillis());
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
   * Makes a plan.
   *
   * @param input all that it depends on
   * @return the plan; empty when too many nodes are silent to trust the evidence
   */
  public static Plan plan(PlanInput input) {
    Planner planner = new Planner(input);
    if (planner.tooManySilent()) {
      return new Plan(List.of(), List.of(), false);
    }
    return planner.make();
  }

  private boolean tooManySilent() {
    Collection<NodeView> views = input.nodes().values();
    long silent = views.stream().filter(view -> !view.isAlive()).count();
    return views.isEmpty() || silent > views.size() * settings.maximumSilentShare();
  }

  private Plan make() {
    rebuilding = (int) all().filter(this::isLoading).count();
    for (DomainDraft draft : drafts) {
      for (Replica replica : draft.replicas()) {
        if (draft.has(replica)) {
          review(draft, replica);
        }
      }
    }
    wantedRoles().forEach(role -> fill(role, role.replicasPerDataCentre()));
    wantedRoles().forEach(role -> fill(role, most(role)));
    List<DomainState> changed = new ArrayList<>();
    drafts.forEach(draft -> draft.result(input.operation()).ifPresent(changed::add));
    return new Plan(changed, steps, isComplete());
  }

  private void review(DomainDraft draft, Replica replica) {
    Optional<Role> role = wantedRole(replica);
    List<String> lost = replica.members().stream().filter(facts::isLost).toList();
    if (role.isEmpty()) {
      retire(draft, replica, "the bundle no longer asks for it");
    } else if (!lost.isEmpty()) {
      repair(draft, replica, role.get(), lost);
    } else if (replica.draining()) {
      afterDraining(draft, replica, role.get());
    } else if (replica.members().stream().anyMatch(facts::isLeaving)) {
      drain(draft, replica, "a member is leaving");
    } else if (input.rolling() && !versionOf(role.get()).equals(replica.version())) {
      upgrade(draft, replica, role.get());
    } else if (isSurplus(replica, role.get(), most(role.get()))) {
      retire(draft, replica, "there are more than the bundle asks for");
    }
  }

  private void retire(DomainDraft draft, Replica replica, String cause) {
    if (replica.draining() && !facts.isDrained(replica)) {
      return;
    }
    if (replica.draining() || !facts.isServing(replica)) {
      draft.remove(replica);
      note("Replica " + replica.id() + " is retired, since " + cause + ".");
    } else {
      drain(draft, replica, cause);
    }
  }

  private void drain(DomainDraft draft, Replica replica, String cause) {
    draft.drain(replica);
    note("Replica " + replica.id() + " is drained, since " + cause + ".");
  }

  private void repair(DomainDraft draft, Replica replica, Role role, List<String> lost) {
    if (lost.stream().noneMatch(facts::isGivenUp)) {
      return;
    }
    if (!settings.uses(Feature.REBUILD_IN_PLACE)) {
      draft.remove(replica);
      note("Replica " + replica.id() + " is disbanded, since " + lost + " are lost.");
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

  /** Of several broken replicas in a domain, breaks the worst up if that completes the best. */
  private void consolidate(DomainDraft draft) {
    List<Replica> broken =
        draft.replicas().stream()
            .filter(replica -> replica.members().stream().anyMatch(facts::isGivenUp))
            .filter(replica -> wantedRole(replica).isPresent())
            .sorted(Comparator.comparingLong(this::survivors).thenComparing(Replica::id))
            .toList();
    if (broken.size() < 2) {
      return;
    }
    Replica worst = broken.get(0);
    Replica best = broken.get(broken.size() - 1);
    long lacking = best.members().size() - survivors(best) - spares(draft, "").size();
    if (survivors(worst) >= lacking) {
      draft.remove(worst);
      note("Replica " + worst.id() + " is disbanded, since its nodes complete " + best.id() + ".");
    }
  }

  private long survivors(Replica replica) {
    return replica.members().stream().filter(node -> !facts.isLost(node)).count();
  }

  /** A broken extra replica gives its nodes free; what is wanted is formed first. */
  private void retireBrokenExtra(DomainDraft draft, Replica replica, boolean extra) {
    if (extra) {
      draft.remove(replica);
      note("Extra replica " + replica.id() + " is disbanded, since a member is lost.");
    }
  }

  /**
   * Drains the extra replicas of the domain whose nodes a wanted replica lacks, the smallest first.
   *
   * <p>It does so when the weighted cost of staying broken is higher than that of the nodes that
   * would be left over. True when nodes are on their way.
   */
  private boolean preemptExtras(DomainDraft draft, Role role, int present) {
    if (!settings.uses(Feature.PREEMPT_EXTRAS)) {
      return false;
    }
    if (draft.replicas().stream().anyMatch(Replica::draining)) {
      return true;
    }
    int lacking = role.nodesPerReplica() - present - spares(draft, "").size();
    List<Replica> victims = extrasToPreempt(draft, lacking);
    int gained = victims.stream().mapToInt(each -> each.members().size()).sum();
    if (gained < lacking || !isPreemptionWorthwhile(role, present, gained - lacking)) {
      return false;
    }
    victims.forEach(each -> drain(draft, each, "a replica of " + role.name() + " lacks nodes"));
    return true;
  }

  private List<Replica> extrasToPreempt(DomainDraft draft, int lacking) {
    List<Replica> extras =
        draft.replicas().stream()
            .filter(this::isExtra)
            .sorted(Comparator.comparingInt(each -> each.members().size()))
            .toList();
    List<Replica> victims = new ArrayList<>();
    int gained = 0;
    for (Replica extra : extras) {
      if (gained < lacking) {
        victims.add(extra);
        gained += extra.members().size();
      }
    }
    return victims;
  }

  private boolean isPreemptionWorthwhile(Role role, int present, int leftOver) {
    Policy weights = bundle.policy();
    double staying =
        weights.downtimeWeight() * role.nodesPerReplica() + weights.strandedWeight() * present;
    return staying > weights.strandedWeight() * leftOver;
  }

  private boolean isExtra(Replica replica) {
    return wantedRole(replica)
        .filter(role -> isSurplus(replica, role, role.replicasPerDataCentre()))
        .isPresent();
  }

  /** Replaces lost and leaving members; false when there are too few spares. */
  private boolean rebuild(
      DomainDraft draft, Replica replica, Role role, Collection<String> replaced) {
    if (rebuilding >= settings.maximumRebuilding()) {
      return false;
    }
    String version = targetVersion(replica, role);
    List<String> kept =
        replica.members().stream()
            .filter(node -> !replaced.contains(node) && !facts.isLeaving(node))
            .toList();
    int needed = role.nodesPerReplica() - kept.size();
    List<String> spares = spares(draft, weights(role.model(), version));
    if (spares.size() < needed) {
      return false;
    }
    List<String> members = new ArrayList<>(kept);
    members.addAll(spares.subList(0, needed));
    put(draft, Optional.of(replica), role, version, members);
    note("Replica " + replica.id() + " is rebuilt without " + replaced + ".");
    return true;
  }

  private int most(Role role) {
    int extra = settings.uses(Feature.EXTRAS) ? role.extraReplicas() : 0;
    return role.replicasPerDataCentre() + extra;
  }

  private void afterDraining(DomainDraft draft, Replica replica, Role role) {
    if (!facts.isDrained(replica)) {
      return;
    }
    List<String> leaving = replica.members().stream().filter(facts::isLeaving).toList();
    if (leaving.isEmpty() && othersOf(replica) >= role.replicasPerDataCentre()) {
      draft.remove(replica);
      note("Extra replica " + replica.id() + " is disbanded.");
      return;
    }
    if (rebuild(draft, replica, role, leaving) || leaving.isEmpty()) {
      return;
    }
    draft.remove(replica);
    note("Replica " + replica.id() + " is disbanded, since no spare replaces " + leaving + ".");
  }

  private long othersOf(Replica replica) {
    return all()
        .filter(each -> each.role().equals(replica.role()) && !each.id().equals(replica.id()))
        .filter(each -> !each.draining())
        .count();
  }

  private void upgrade(DomainDraft draft, Replica replica, Role role) {
    boolean serving = facts.isServing(replica);
    if (!serving) {
      rebuild(draft, replica, role, List.of());
      return;
    }
    long others =
        all()
            .filter(each -> each.role().equals(role.name()) && !each.id().equals(replica.id()))
            .filter(each -> facts.isServing(each) && !each.draining())
            .count();
    boolean changing =
        all()
            .filter(each -> each.role().equals(role.name()))
            .anyMatch(each -> each.draining() || isLoading(each));
    if (!changing && others >= role.minimumReady()) {
      drain(draft, replica, "version " + versionOf(role) + " is rolled out");
    }
  }

  /** Extras would take the nodes that a broken or missing replica waits for, and their weights. */
  private boolean isFree(DomainDraft draft, Role role) {
    boolean extra = standing(role) >= role.replicasPerDataCentre();
    return !extra
        || wantedRoles().stream().allMatch(each -> standing(each) >= each.replicasPerDataCentre())
            && draft.replicas().stream()
                .noneMatch(
                    replica ->
                        !isExtra(replica) && replica.members().stream().anyMatch(facts::isLost));
  }

  private void fill(Role role, int wanted) {
    while (standing(role) < wanted) {
      if (rebuilding >= settings.maximumRebuilding()) {
        return;
      }
      Optional<DomainDraft> draft = domainFor(role);
      if (draft.isEmpty()) {
        if (standing(role) < role.replicasPerDataCentre()) {
          preemptForMissing(role);
        }
        return;
      }
      String version = versionOf(role);
      List<String> members =
          spares(draft.get(), weights(role.model(), version)).subList(0, role.nodesPerReplica());
      Replica replica = put(draft.get(), Optional.empty(), role, version, members);
      note("Replica " + replica.id() + " is formed from " + members + ".");
    }
  }

  private void preemptForMissing(Role role) {
    for (DomainDraft draft : drafts) {
      if (preemptExtras(draft, role, 0)) {
        return;
      }
    }
  }

  /** Of the domains with room, the one that needs the fewest loads, then leaves fewest spares. */
  private Optional<DomainDraft> domainFor(Role role) {
    String wanted = weights(role.model(), versionOf(role));
    Comparator<DomainDraft> order =
        settings.uses(Feature.PREFER_LOADED)
            ? Comparator.comparingInt((DomainDraft draft) -> loads(draft, role, wanted))
                .thenComparingInt(draft -> spares(draft, wanted).size())
            : Comparator.comparingInt(drafts::indexOf);
    return drafts.stream()
        .filter(draft -> spares(draft, wanted).size() >= role.nodesPerReplica())
        .filter(draft -> isFree(draft, role))
        .min(order);
  }

  private int loads(DomainDraft draft, Role role, String wanted) {
    return (int)
        spares(draft, wanted).subList(0, role.nodesPerReplica()).stream()
            .filter(node -> !input.nodes().get(node).holds(wanted))
            .count();
  }

  private Replica put(
      DomainDraft draft, Optional<Replica> old, Role role, String version, List<String> members) {
    Replica replica = draft.put(old, role.name(), role.model(), version, members);
    touched.add(replica.id());
    rebuilding++;
    return replica;
  }

  /** Nodes of the domain that are in no replica and fit to join one, the best first. */
  private List<String> spares(DomainDraft draft, String wanted) {
    Comparator<NodeView> order =
        Comparator.comparing((NodeView view) -> !view.holds(wanted))
            .thenComparingInt(NodeView::failures);
    List<NodeView> free = new ArrayList<>();
    for (String name : nodesOfDomain.getOrDefault(draft.domain(), List.of())) {
      NodeView view = input.nodes().get(name);
      boolean fit = view.isAlive() && !view.node().leaving() && view.node().service() == null;
      if (fit && drafts.stream().noneMatch(each -> each.isTaken(name))) {
        free.add(view);
      }
    }
    if (settings.uses(Feature.PREFER_LOADED)) {
      free.sort(order);
    }
    return free.stream().map(view -> view.node().name()).toList();
  }

  private boolean isSurplus(Replica replica, Role role, int wanted) {
    List<Replica> same =
        all()
            .filter(each -> each.role().equals(role.name()) && !each.draining())
            .sorted(
                Comparator.comparing((Replica each) -> !facts.isServing(each))
                    .thenComparing(Replica::generation))
            .toList();
    return same.indexOf(replica) >= wanted;
  }

  /** All members live, but not all are ready: it is being built. */
  private boolean isLoading(Replica replica) {
    return touched.contains(replica.id())
        || !replica.draining()
            && !facts.isServing(replica)
            && replica.members().stream().noneMatch(facts::isLost);
  }

  private Optional<Role> wantedRole(Replica replica) {
    return bundle
        .role(replica.role())
        .filter(role -> role.runsIn(input.dataCentre()))
        .filter(role -> role.model().equals(replica.model()))
        .filter(role -> role.nodesPerReplica() == replica.members().size());
  }

  private List<Role> wantedRoles() {
    return bundle.roles().stream()
        .filter(role -> role.runsIn(input.dataCentre()))
        .sorted(Comparator.comparingInt(Role::nodesPerReplica).reversed())
        .toList();
  }

  private long standing(Role role) {
    return all().filter(replica -> wantedRole(replica).filter(role::equals).isPresent()).count();
  }

  private String targetVersion(Replica replica, Role role) {
    return input.rolling() ? versionOf(role) : replica.version();
  }

  private String versionOf(Role role) {
    return bundle.model(role.model()).map(Model::fullVersion).orElse("");
  }

  private boolean isComplete() {
    return wantedRoles().stream().allMatch(role -> standing(role) >= role.replicasPerDataCentre())
        && all()
            .allMatch(
                replica ->
                    facts.isServing(replica)
                        && !replica.draining()
                        && bundle
                            .role(replica.role())
                            .filter(role -> versionOf(role).equals(replica.version()))
                            .isPresent());
  }

  private Stream<Replica> all() {
    return drafts.stream().flatMap(draft -> draft.replicas().stream());
  }

  private void note(String step) {
    steps.add(step);
  }

  private static String weights(String model, String version) {
    return model + "@" + version;
  }
}
