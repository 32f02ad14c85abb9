package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.IncarnationTracker;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.jspecify.annotations.Nullable;

/**
 * The leader's decisions on groups, as a state machine: the caller feeds it the nodes' entries, the
 * outcomes of orders and the time, and sends the orders that {@link #plan} returns.
 *
 * <p>Two promises hold by construction. A head is opened only after every member was seen ready
 * under the group's name, epoch and list. A node joins a group only after the head of its former
 * group has left it, or its process is gone, or members left so long ago that the head is broken.
 */
public final class GroupPlanner {

  private static final long MILLI = 1_000_000L;
  private static final long PROOF_EVERY_NANOS = 700 * MILLI;

  /** A line each two seconds, of the leader alone. */
  private static final long MIX_REMARK_NANOS = 2_000 * MILLI;

  /** Of how many groups one may be taken apart at a time because a member leaves. */
  private static final int GROUPS_FOR_EACH_END = 4;

  private final String namePrefix;
  private final LoadLimiter limiter;
  private final OrderTracker log = new OrderTracker();
  private final Assembler assembler;
  private final Dissolver dissolver;
  private final StagingPlanner staging;
  private final Policy policy;
  private final List<String> remarks = new ArrayList<>();
  private final Exchanges exchanges = new Exchanges();
  private final IdleTimes idleTimes = new IdleTimes();
  private final MissingMembers missing = new MissingMembers();
  private final DrainingMembers leaving = new DrainingMembers();
  private final RecentGroups recent = new RecentGroups();
  private final IncarnationTracker lives = new IncarnationTracker();
  private Map<GroupKey, ObservedGroup> groups = Map.of();
  private final ListSettling settling = new ListSettling();
  private Predicate<String> inSight = anywhere -> true;
  private long lastPlan;
  private long lastMixRemark = Long.MIN_VALUE / 2;
  private long nextName;
  private long highestEpoch;

  /**
   * Creates a planner for one term of leadership.
   *
   * @param namePrefix begins the names of groups; never used by another leader or incarnation
   * @param stallNanos how long a group stands still after a loss until it is broken
   * @param limiter holds the loads below the weight store's rate
   * @param policy the mechanisms at work
   */
  public GroupPlanner(String namePrefix, long stallNanos, LoadLimiter limiter, Policy policy) {
    this.namePrefix = namePrefix;
    this.limiter = limiter;
    this.policy = policy;
    this.staging = new StagingPlanner(policy.secondModel());
    this.dissolver = new Dissolver(log, stallNanos);
    this.assembler = new Assembler(log, key -> dissolver.isFree(key, lastPlan));
  }

  /**
   * What a plan is made from.
   *
   * @param nodes nodes of the engine service
   * @param engine their arithmetic
   * @param demand how much of the fleet each model needs
   * @param stalledHeads heads that surely stand still, as {@code ID@EPOCH}
   * @param inSight data centres that the leader reaches
   * @param resting ids of nodes that want nothing from this daemon for a while
   * @param fence the fencing token
   */
  public record Input(
      Collection<Node> nodes,
      EngineSpec engine,
      ModelDemand demand,
      Set<String> stalledHeads,
      Set<String> inSight,
      Set<String> resting,
      long fence) {}

  /**
   * Makes the orders that are due.
   *
   * @param input what the plan is made from
   * @param now the steady time, in nanoseconds
   * @return the orders; each is to be answered by {@link #outcome} or {@link #report}
   */
  public List<GroupOrder> plan(Input input, long now) {
    lastPlan = now;
    inSight = policy.cutsAreNoDeaths() ? input.inSight()::contains : anywhere -> true;
    Map<String, Node> nodes = new LinkedHashMap<>();
    input.nodes().forEach(node -> nodes.put(node.id(), node));
    log.rest(input.resting());
    dissolver.learn(nodes, now);
    settling.learn(nodes.keySet(), now);
    learnLives(nodes, now);
    groups = ObservedGroup.gather(input.nodes());
    groups.keySet().forEach(key -> highestEpoch = Math.max(highestEpoch, key.epoch()));
    missing.retain(groups);
    leaving.retain(groups);
    OrderSink sink = new OrderSink(log, input.fence());
    dissolver.forget(groups, now);
    judgeGroups(input, now);
    judgeAttempts(input, nodes, now);
    exchange(input, nodes, now);
    dissolver.advance(nodes, sink, now);
    form(input, nodes, now);
    assembler.advance(nodes, sink, now);
    remarkMoves(sink, now);
    stage(input, nodes, sink, now);
    noteOpened(input.engine(), now);
    askForProof(nodes, sink, now);
    return sink.orders();
  }

  /** What was known of a node ends with its life, and so does its part in a group. */
  private void learnLives(Map<String, Node> nodes, long now) {
    for (String id : lives.update(nodes.values())) {
      remarks.add(
          "node=" + id + " started_ms=" + nodes.get(id).incarnation().startedMillis() + " anew");
      log.begunAnew(id);
      dissolver.begunAnew(id, now);
      assembler.begunAnew(id);
      recent.headBegunAnew(id);
      groups.values().stream()
          .filter(group -> ids(group.members()).contains(id))
          .forEach(group -> missing.surely(group.key()));
    }
  }

  /**
   * Tells whether groups are on their way or being taken apart: their next step may be due at any
   * moment.
   *
   * @return true while there is such a group
   */
  public boolean isBusy() {
    return !assembler.attempts().isEmpty() || dissolver.pending(lastPlan) > 0;
  }

  /**
   * Lines on what was decided since the last call.
   *
   * @return the lines, oldest first
   */
  public List<String> drainLogLines() {
    List<String> drained = List.copyOf(remarks);
    remarks.clear();
    return drained;
  }

  /**
   * Groups that were opened or dissolved a short while ago, so that others need not wait for the
   * list to show it.
   *
   * @return the groups
   */
  public RecentGroups recent() {
    return recent;
  }

  private void noteOpened(EngineSpec engine, long now) {
    recent.forget(groups.keySet(), now);
    for (FormationAttempt attempt : assembler.attempts()) {
      boolean serves =
          attempt.openedNanos >= 0 && now - attempt.openedNanos >= engine.formMillis() * MILLI;
      if (serves) {
        recent.opened(attempt.key, attempt.model.name(), now);
      }
    }
  }

  /** Tells from which group each node is taken, and by what evidence. */
  private void remarkMoves(OrderSink sink, long now) {
    for (GroupOrder order : sink.orders()) {
      GroupKey place = log.place(order.node().id());
      if (order.kind() == GroupOrder.Kind.JOIN && place != null) {
        String move = "node=" + order.node().id() + " group=" + order.group();
        String evidence = dissolver.evidence(place, now).name().toLowerCase(Locale.ROOT);
        remarks.add(move + " taken_from=" + place.name() + " evidence=" + evidence);
      }
    }
  }

  private void judgeGroups(Input input, long now) {
    for (ObservedGroup group : groups.values()) {
      if (!dissolver.handles(group.key()) && !assembler.handles(group.key())) {
        judge(group, input, now);
      }
    }
  }

  private void judge(ObservedGroup group, Input input, long now) {
    ModelSpec model = modelOf(group, input.engine());
    if (input.stalledHeads().contains(group.key().headAtEpoch())) {
      dissolve(group, Dissolution.Manner.AT_ONCE, "its head stands still", now);
    } else if (model != null && group.complete(model.size())) {
      missing.whole(group.key());
      adoptUnlessOpen(group, model, now);
    } else if (group.isLeaving()) {
      endUnlessTooMany(group, now);
    } else if (!mayComeBack(group, now)) {
      dissolve(group, Dissolution.Manner.AT_ONCE, "a member is missing or broken", now);
    }
  }

  /**
   * A member that leaves stays for a while. When many leave at once, their groups end one after the
   * other, so that most serve while some are formed anew.
   */
  private void endUnlessTooMany(ObservedGroup group, long now) {
    boolean crowded = dissolver.pending(now) >= 1 + groups.size() / GROUPS_FOR_EACH_END;
    if (!group.headMayServe() || !crowded || leaving.hasWaited(group.key(), now)) {
      dissolve(group, Dissolution.Manner.GRACEFUL, "a member leaves", now);
    }
  }

  private void adoptUnlessOpen(ObservedGroup group, ModelSpec model, long now) {
    if (!group.any(MemberState.OPEN)) {
      assembler.adopt(group, model, now);
      remarks.add("group=" + group.key().name() + " adopted");
    }
  }

  private void dissolve(ObservedGroup group, Dissolution.Manner manner, String reason, long now) {
    dissolve(group.key(), ids(group.members()), manner, reason, now);
  }

  /** Entries that vanished may be back soon; members that leave or are broken may not. */
  private boolean mayComeBack(ObservedGroup group, long now) {
    boolean served = group.head() == null || group.any(MemberState.OPEN);
    boolean lacksOnlyEntries = served && group.soundAsListed();
    return policy.cutsAreNoDeaths() && lacksOnlyEntries && !missing.isOver(group, now);
  }

  private void judgeAttempts(Input input, Map<String, Node> nodes, long now) {
    for (Assembler.Failed failed : assembler.judge(nodes, input.stalledHeads(), remarks, now)) {
      FormationAttempt attempt = failed.attempt();
      if (attempt.headAsked) {
        Dissolution.Manner manner = Dissolution.Manner.AT_ONCE;
        dissolve(attempt.key, attempt.members, manner, failed.reason(), now);
      } else {
        remarks.add("group=" + attempt.key.name() + " given up reason=" + failed.reason());
      }
    }
  }

  private void dissolve(
      GroupKey key, List<String> members, Dissolution.Manner manner, String reason, long now) {
    dissolver.begin(key, members, manner, now);
    recent.closed(key, now);
    if (manner == Dissolution.Manner.AT_ONCE) {
      members.forEach(log::mistrust);
    }
    remarks.add("group=" + key.name() + " epoch=" + key.epoch() + " dissolved reason=" + reason);
  }

  /** Nodes that did not answer, or whose group stood still, prove by a report that they live. */
  private void askForProof(Map<String, Node> nodes, OrderSink sink, long now) {
    for (Node node : nodes.values()) {
      String id = node.id();
      if (log.unproven(id) && !log.busy(id) && log.mayAsk(id, now, PROOF_EVERY_NANOS)) {
        sink.report(node);
      }
    }
  }

  /** Before the first request there is time to wait for a whole list. */
  private boolean isSettled(long now) {
    return limiter.isEnforced() || settling.isSettled(now);
  }

  /**
   * Before any request the declared demand is all there is, and taking groups apart costs nobody
   * anything. A leader that starts among groups that serve waits for what callers ask: after a loss
   * of power the first leader took five groups apart in 0.1 s for a demand that was declared only.
   */
  private boolean isDemandKnown(Input input) {
    return !limiter.isEnforced() || input.demand().isObserved();
  }

  /** Takes groups apart whose nodes, with the free ones, serve callers better otherwise. */
  private void exchange(Input input, Map<String, Node> nodes, long now) {
    exchanges.settle(key -> dissolver.isFree(key, now), dissolver::isStuck, now);
    if (!policy.exchange() || !isSettled(now) || !isDemandKnown(input)) {
      return;
    }
    Map<String, List<Node>> free = free(nodes, now);
    idleTimes.learn(free.values(), now);
    Set<String> busy = busyDomains(nodes);
    boolean settles = !busy.isEmpty() || exchanges.rests(now);
    ExpectedGroups expected = expectedGroups(input, nodes);
    ExchangePolicy choice = exchangePolicy(input, nodes.values(), expected);
    remarkMix(choice, now);
    for (Map.Entry<String, List<ObservedGroup>> domain : untouchedGroups().entrySet()) {
      List<Node> spare = free.getOrDefault(domain.getKey(), List.of());
      boolean mayWait = spare.isEmpty() && settles;
      boolean untouched = !busy.contains(domain.getKey()) && !expected.anyIn(domain.getKey());
      if (mayWait || !untouched) {
        continue;
      }
      ExchangePolicy.Plan plan = choice.plan(spare, domain.getValue());
      if (plan != null) {
        begin(domain.getKey(), plan, choice, now);
        choice = exchangePolicy(input, nodes.values(), expected);
      }
    }
  }

  /** What each model has and is asked for, now and then: the inputs of what is not exchanged. */
  private void remarkMix(ExchangePolicy choice, long now) {
    if (now - lastMixRemark >= MIX_REMARK_NANOS) {
      lastMixRemark = now;
      remarks.add("mix" + choice.describeMix());
    }
  }

  private ExchangePolicy exchangePolicy(
      Input input, Collection<Node> nodes, ExpectedGroups expected) {
    EngineSpec engine = input.engine();
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Map<String, Integer> standing = standing(engine);
    expected.addTo(standing);
    return new ExchangePolicy(engine, mix, standing, joinRule(engine, mix, standing, nodes));
  }

  private ExpectedGroups expectedGroups(Input input, Map<String, Node> nodes) {
    EngineSpec engine = input.engine();
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Map<String, Integer> standing = standing(engine);
    JoinRule rule = joinRule(engine, mix, standing, nodes.values());
    return ExpectedGroups.of(engine, mix, standing, rule, soonFree(nodes));
  }

  /**
   * Nodes in sight that serve no group and will soon be free, by domain. Of a group that stands
   * still one node is gone, but nothing tells which one until its entry lapses.
   */
  private Map<String, List<Node>> soonFree(Map<String, Node> nodes) {
    Set<String> taken = new HashSet<>(assembler.taken());
    untouchedGroups()
        .values()
        .forEach(here -> here.forEach(group -> taken.addAll(ids(group.members()))));
    Map<String, List<Node>> soonFree = new LinkedHashMap<>();
    for (Node node : nodes.values()) {
      boolean comes =
          !node.draining()
              && inSight.test(node.dataCentre())
              && !taken.contains(node.id())
              && !log.failedProof(node.id())
              && !exchanges.domains().contains(node.domain());
      if (comes) {
        soonFree.computeIfAbsent(node.domain(), domain -> new ArrayList<>()).add(node);
      }
    }
    return soonFree;
  }

  private void begin(String domain, ExchangePolicy.Plan plan, ExchangePolicy choice, long now) {
    remarks.add("domain=" + domain + " exchanges " + choice.describe(plan));
    exchanges.begin(domain, plan, now);
    for (ObservedGroup group : plan.victims()) {
      dissolve(group, Dissolution.Manner.GRACEFUL, "its nodes serve more as another model", now);
    }
  }

  /**
   * Domains in which groups are being formed or exchanged, or nodes have to prove that they live.
   */
  private Set<String> busyDomains(Map<String, Node> nodes) {
    Set<String> busy = domainsAwaitingProof(nodes);
    busy.addAll(exchanges.domains());
    for (String id : assembler.taken()) {
      Node node = nodes.get(id);
      if (node != null) {
        busy.add(node.domain());
      }
    }
    return busy;
  }

  /** Groups in sight that nothing is being done to, by domain. */
  private Map<String, List<ObservedGroup>> untouchedGroups() {
    Map<String, List<ObservedGroup>> byDomain = new LinkedHashMap<>();
    for (ObservedGroup group : groups.values()) {
      boolean untouched = !dissolver.handles(group.key()) && !assembler.handles(group.key());
      if (untouched && inSight.test(group.members().get(0).dataCentre())) {
        String domain = group.members().get(0).domain();
        byDomain.computeIfAbsent(domain, name -> new ArrayList<>()).add(group);
      }
    }
    return byDomain;
  }

  private void form(Input input, Map<String, Node> nodes, long now) {
    if (!isSettled(now)) {
      return;
    }
    EngineSpec engine = input.engine();
    Map<String, Integer> standing = standing(engine);
    Map<String, List<Node>> free = free(nodes, now);
    free.keySet().removeAll(domainsAwaitingProof(nodes));
    free.keySet().removeAll(exchanges.domains());
    MixPlanner mix = new MixPlanner(engine, input.demand());
    JoinRule rule = joinRule(engine, mix, standing, nodes.values());
    mix.choose(free, standing, rule)
        .forEach(
            (domain, packing) -> {
              for (FormationPolicy.Proposal proposal :
                  FormationPolicy.proposals(free.get(domain), packing, engine, rule)) {
                beginIfLoadsAllow(proposal, engine, standing, now);
              }
            });
    formMissing(free, engine, standing, now);
  }

  private JoinRule joinRule(
      EngineSpec engine, MixPlanner mix, Map<String, Integer> standing, Collection<Node> nodes) {
    if (!limiter.isEnforced()) {
      return JoinRule.ANY;
    }
    return policy.scarceModels()
        ? new ScarceModels(
            engine, mix, standing, nodes, node -> idleTimes.hasWaited(node, lastPlan))
        : JoinRule.HOLDERS;
  }

  private void formMissing(
      Map<String, List<Node>> free, EngineSpec engine, Map<String, Integer> standing, long now) {
    Set<String> taken = assembler.taken();
    for (List<Node> nodes : free.values()) {
      List<Node> left = nodes.stream().filter(node -> !taken.contains(node.id())).toList();
      FormationPolicy.Proposal proposal = FormationPolicy.missing(left, engine, standing);
      if (proposal != null) {
        beginIfLoadsAllow(proposal, engine, standing, now);
      }
    }
  }

  private void beginIfLoadsAllow(
      FormationPolicy.Proposal proposal,
      EngineSpec engine,
      Map<String, Integer> standing,
      long now) {
    if (mayLoad(proposal.loads(), engine, now)) {
      begin(proposal, now);
      standing.merge(proposal.model().name(), 1, Integer::sum);
    }
  }

  /** Domains in which a node is about to prove that it lives: a group formed now may be worse. */
  private Set<String> domainsAwaitingProof(Map<String, Node> nodes) {
    Set<String> domains = new HashSet<>();
    for (Node node : nodes.values()) {
      if (log.awaitsProof(node.id())) {
        domains.add(node.domain());
      }
    }
    return domains;
  }

  private boolean mayLoad(int loads, EngineSpec engine, long now) {
    int underWay = assembler.loadsUnderWay() + staging.underWay();
    boolean crowded =
        limiter.isEnforced() && underWay > 0 && underWay + loads > engine.loadsAtOnce();
    return loads == 0 || !crowded && limiter.tryAcquire(loads, engine.loadsPerSecond(), now);
  }

  private void begin(FormationPolicy.Proposal proposal, long now) {
    highestEpoch++;
    List<String> members = ids(proposal.members());
    GroupKey key = GroupKey.of(namePrefix + nextName, members.get(0), highestEpoch);
    nextName++;
    assembler.begin(key, proposal, members, now);
    remarks.add(
        "group="
            + key.name()
            + " epoch="
            + key.epoch()
            + " forming model="
            + proposal.model().name()
            + " members="
            + members
            + " expected_ms="
            + proposal.readyMillis()
            + " loads="
            + proposal.loads());
  }

  private Map<String, List<Node>> free(Map<String, Node> nodes, long now) {
    Set<String> taken = new HashSet<>(assembler.taken());
    taken.addAll(dissolver.taken(now));
    for (ObservedGroup group : groups.values()) {
      if (!dissolver.isFree(group.key(), now)) {
        taken.addAll(ids(group.members()));
      }
    }
    Map<String, List<Node>> free = new LinkedHashMap<>();
    nodes.values().stream()
        .filter(node -> !node.draining() && !taken.contains(node.id()))
        .filter(node -> inSight.test(node.dataCentre()) && !log.rests(node.id()))
        .filter(node -> !log.unproven(node.id()) && !log.inConflict(node.id(), now))
        .sorted((a, b) -> a.id().compareTo(b.id()))
        .forEach(
            node -> free.computeIfAbsent(node.domain(), domain -> new ArrayList<>()).add(node));
    return free;
  }

  private Map<String, Integer> standing(EngineSpec engine) {
    Map<String, Integer> standing = new HashMap<>();
    for (ObservedGroup group : groups.values()) {
      ModelSpec model = modelOf(group, engine);
      boolean counted =
          model != null
              && inSight.test(group.members().get(0).dataCentre())
              && !dissolver.handles(group.key())
              && !assembler.handles(group.key());
      if (counted) {
        standing.merge(model.name(), 1, Integer::sum);
      }
    }
    assembler.attempts().forEach(attempt -> standing.merge(attempt.model.name(), 1, Integer::sum));
    exchanges.addTo(standing, engine.models());
    return standing;
  }

  /** The models of groups on their way, by domain. */
  private Map<String, List<ModelSpec>> modelsBeingFormed(Map<String, Node> nodes) {
    Map<String, List<ModelSpec>> models = new HashMap<>();
    for (FormationAttempt attempt : assembler.attempts()) {
      Node head = nodes.get(attempt.head());
      if (head != null) {
        models.computeIfAbsent(head.domain(), domain -> new ArrayList<>()).add(attempt.model);
      }
    }
    return models;
  }

  private void stage(Input input, Map<String, Node> nodes, OrderSink sink, long now) {
    staging.forget(nodes, now);
    if (!isSettled(now)) {
      return;
    }
    EngineSpec engine = input.engine();
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Set<String> forming = assembler.taken();
    for (StagingPlanner.Wish wish :
        staging.wishes(nodes.values(), engine, mix, standing(engine), modelsBeingFormed(nodes))) {
      Node node = wish.node();
      boolean idle = !log.busy(node.id()) && !log.unproven(node.id());
      boolean due = idle && !forming.contains(node.id());
      if (due && mayLoad(1, engine, now)) {
        staging.begun(wish, now);
        sink.stage(node, wish.model().name());
        remarks.add("node=" + node.id() + " stages model=" + wish.model().name());
      }
    }
  }

  /**
   * Takes the outcome of an order in. One to a former life of a node tells nothing of its present
   * one.
   *
   * @param order the order
   * @param outcome its outcome
   * @param now the steady time, in nanoseconds
   */
  public void outcome(GroupOrder order, GroupOrder.Outcome outcome, long now) {
    String id = order.node().id();
    if (!lives.isCurrent(order.node())) {
      return;
    }
    switch (outcome) {
      case BEGUN -> log.answered(order, true);
      case DONE -> log.answered(order, false);
      case UNKNOWN -> log.silent(id, now);
      case GONE, OTHER_NODE -> log.gone(id, now);
      default -> log.doubt(id);
    }
    assembler.outcome(order, outcome, now);
    dissolver.outcome(order, outcome, now);
  }

  /**
   * Takes a node's report in.
   *
   * @param node the node
   * @param report its report; null when none came. That of a later life of its id shows that this
   *     one has ended; the list will tell of the later one
   * @param now the steady time, in nanoseconds
   */
  public void report(Node node, @Nullable NodeReport report, long now) {
    if (!lives.isCurrent(node)) {
      return;
    }
    if (report == null || !report.isOf(node)) {
      log.gone(node.id(), now);
      return;
    }
    Membership place = report.membership();
    GroupKey key = place == null ? null : new GroupKey(place.group(), place.epoch());
    log.reported(node.id(), report.orders(), key, now);
    assembler.report(node.id(), place);
    dissolver.report(node.id(), place, now);
  }

  private static @Nullable ModelSpec modelOf(ObservedGroup group, EngineSpec engine) {
    for (Node node : group.members()) {
      String model = node.model();
      if (model != null) {
        return engine.model(model);
      }
    }
    return null;
  }

  private static List<String> ids(Collection<Node> nodes) {
    return nodes.stream().map(Node::id).toList();
  }
}
