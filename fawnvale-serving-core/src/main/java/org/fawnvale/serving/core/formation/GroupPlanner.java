package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
import org.fawnvale.serving.core.pace.NodePaces;
import org.jspecify.annotations.Nullable;

/**
 * Decides, as the leader, which groups are formed, opened and dissolved. The planner is a state
 * machine without I/O: the caller passes in the listed nodes, the outcomes of orders and the time,
 * and sends the orders that {@link #plan} returns.
 *
 * <p>The planner guarantees two invariants. It opens a head only after every member was observed
 * ready under the group's name, epoch and member list. It assigns a node to another group only
 * after the head of the node's former group has left that group, the head's process has ended, or
 * other members left so long ago that the head is broken.
 *
 * <p>Instances are not thread-safe.
 */
public final class GroupPlanner {

  private static final long MILLI = 1_000_000L;
  private static final long LIVENESS_CHECK_INTERVAL_NANOS = 700 * MILLI;

  private static final long MIX_LOG_INTERVAL_NANOS = 2_000 * MILLI;

  /**
   * Determines how many groups are dissolved at a time: a serving group with a draining member
   * waits while {@code 1 + groups / GROUPS_PER_DISSOLUTION} or more groups are being dissolved.
   */
  private static final int GROUPS_PER_DISSOLUTION = 4;

  private final String namePrefix;
  private final LoadLimiter limiter;
  private final OrderTracker tracker = new OrderTracker();
  private final Assembler assembler;
  private final Dissolver dissolver;
  private final StagingPlanner staging;
  private final PlanState state;
  private final Policy policy;
  private final List<String> logLines = new ArrayList<>();
  private final Exchanges exchanges = new Exchanges();
  private final NodePaces paces = new NodePaces();
  private final StallCheck stallCheck = new StallCheck(logLines::add);
  private final PaceReports paceReports = new PaceReports(paces, tracker);
  private final PaceExchanges paceExchanges = new PaceExchanges();
  private final IdleTimes idleTimes = new IdleTimes();
  private final MissingMembers missingMembers = new MissingMembers();
  private final DrainingMembers drainingMembers = new DrainingMembers();
  private final RecentGroups recentGroups = new RecentGroups();
  private final IncarnationTracker incarnations = new IncarnationTracker();
  private Map<GroupKey, ObservedGroup> groups = Map.of();
  private Set<String> stalledHeads = Set.of();
  private final ListSettling listSettling = new ListSettling();
  private long lastPlanNanos;
  private long lastMixLogNanos = Long.MIN_VALUE / 2;
  private long nextName;
  private long highestEpoch;

  /**
   * Creates a planner for one term of leadership.
   *
   * @param namePrefix prefix of all group names; must be unique to this planner
   * @param stallNanos how long after the loss of a member the platform marks the head as broken
   * @param limiter keeps loads below the rate of the weight store
   * @param policy the mechanisms that are enabled
   */
  public GroupPlanner(String namePrefix, long stallNanos, LoadLimiter limiter, Policy policy) {
    this.namePrefix = namePrefix;
    this.limiter = limiter;
    this.policy = policy;
    this.staging = new StagingPlanner(policy.secondModel());
    this.dissolver = new Dissolver(tracker, stallNanos);
    this.assembler = new Assembler(tracker, key -> dissolver.isFree(key, lastPlanNanos));
    this.state = new PlanState(tracker, assembler, dissolver, exchanges);
  }

  /**
   * The input of one plan.
   *
   * @param nodes the listed nodes of the engine service
   * @param engine the engines' configuration and capacity model
   * @param demand the demand per model
   * @param suspects heads that daemons suspect to be stalled
   * @param reachableDataCentres data centres that the leader can reach
   * @param pausedNodes ids of nodes that are in a Retry-After pause for this daemon
   * @param fence the fencing token of the leader's orders
   * @param evacuatedDataCentres data centres in which no node may join a group or load weights, and
   *     whose groups do not count; groups that exist or are complete there stay as they are
   * @param slowHeads ids of heads that daemons observe as slow or suspect of a stall; their members
   *     are asked for their pace. Ignored unless {@link Policy#pace} is on
   */
  public record Input(
      Collection<Node> nodes,
      EngineSpec engine,
      ModelDemand demand,
      SuspectedHeads suspects,
      Set<String> reachableDataCentres,
      Set<String> pausedNodes,
      long fence,
      Set<String> evacuatedDataCentres,
      Set<String> slowHeads) {

    /** Creates an input without evacuated data centres and slow heads. */
    public Input(
        Collection<Node> nodes,
        EngineSpec engine,
        ModelDemand demand,
        SuspectedHeads suspects,
        Set<String> reachableDataCentres,
        Set<String> pausedNodes,
        long fence) {
      this(
          nodes,
          engine,
          demand,
          suspects,
          reachableDataCentres,
          pausedNodes,
          fence,
          Set.of(),
          Set.of());
    }

    /** Tells whether a request may arrive at a node: the leader is not cut off from it. */
    private boolean reaches(Node node, boolean cutsAreNoDeaths) {
      return !cutsAreNoDeaths
          || isEvacuated(node)
          || reachableDataCentres.contains(node.dataCentre());
    }

    private boolean isEvacuated(Node node) {
      return evacuatedDataCentres.contains(node.dataCentre());
    }

    /** Returns the data centres in which groups are planned. */
    private Predicate<String> plannedDataCentres(boolean cutsAreNoDeaths) {
      return dataCentre ->
          !evacuatedDataCentres.contains(dataCentre)
              && (!cutsAreNoDeaths || reachableDataCentres.contains(dataCentre));
    }
  }

  /**
   * Computes the orders that are due now.
   *
   * @param input the input of the plan
   * @param now the monotonic time, in nanoseconds
   * @return the orders; the caller reports the result of each to {@link #outcome} or, for a report,
   *     to {@link #report}
   */
  public List<GroupOrder> plan(Input input, long now) {
    Collection<Node> listed = input.nodes();
    if (policy.pace()) {
      paces.update(listed, now);
      listed = PaceDomains.divide(listed, paces);
    }
    return plan(input, listed, now);
  }

  private List<GroupOrder> plan(Input input, Collection<Node> listed, long now) {
    lastPlanNanos = now;
    Predicate<String> reachable = input.plannedDataCentres(policy.cutsAreNoDeaths());
    Map<String, Node> nodes = new LinkedHashMap<>();
    listed.forEach(node -> nodes.put(node.id(), node));
    tracker.setPausedNodes(input.pausedNodes());
    dissolver.observe(nodes, now);
    listSettling.update(nodes.keySet(), now);
    observeIncarnations(nodes, now);
    groups = ObservedGroup.gather(listed);
    state.update(groups, reachable, assembler.attemptsAt(nodes, input::isEvacuated));
    groups.keySet().forEach(key -> highestEpoch = Math.max(highestEpoch, key.epoch()));
    missingMembers.retain(groups);
    drainingMembers.retain(groups);
    OrderSink sink = new OrderSink(tracker, input.fence());
    dissolver.removeCompleted(groups, now);
    stalledHeads = stallCheck.stalled(input.suspects(), state.servingMembers(nodes), now);
    checkGroups(input, now);
    checkAttempts(nodes, now);
    exchangeForPace(input, nodes, now);
    exchange(input, nodes, now);
    dissolver.advance(nodes, sink, now);
    form(input, nodes, now);
    assembler.advance(nodes, node -> !input.isEvacuated(node), sink, now);
    logMoves(sink, now);
    stage(input, nodes, sink, now);
    recordOpened(input.engine(), now);
    requestReports(input, nodes, sink, now);
    return sink.orders();
  }

  private void requestReports(Input input, Map<String, Node> nodes, OrderSink sink, long now) {
    requestLivenessChecks(nodes, sink, now);
    Set<String> excluded = state.changingNodes();
    Predicate<Node> mayBeAsked =
        node ->
            !excluded.contains(node.id())
                && !tracker.isBusy(node.id())
                && input.reaches(node, policy.cutsAreNoDeaths());
    stallCheck.request(mayBeAsked, sink);
    if (policy.pace()) {
      excluded.addAll(stallCheck.askedNodes());
      paceReports.request(input, groups.values(), nodes.values(), excluded, sink);
    }
  }

  /** Discards the state of nodes that restarted and marks their groups as having lost a member. */
  private void observeIncarnations(Map<String, Node> nodes, long now) {
    for (String id : incarnations.update(nodes.values())) {
      logLines.add("node=" + id + " started_ms=" + nodes.get(id).life().startedMillis() + " anew");
      tracker.reset(id);
      dissolver.nodeRestarted(id, now);
      assembler.nodeRestarted(id);
      recentGroups.headRestarted(id);
      groups.values().stream()
          .filter(group -> ids(group.members()).contains(id))
          .forEach(group -> missingMembers.markLost(group.key()));
    }
  }

  /**
   * Tells whether any group is being formed or dissolved, so that its next step may be due at any
   * moment.
   *
   * @return true while there is such a group
   */
  public boolean isBusy() {
    return !assembler.attempts().isEmpty() || dissolver.pendingCount(lastPlanNanos) > 0;
  }

  /**
   * Returns and clears the log lines on the decisions since the last call.
   *
   * @return the lines, oldest first
   */
  public List<String> drainLogLines() {
    List<String> drained = List.copyOf(logLines);
    logLines.clear();
    return drained;
  }

  /** Returns how many groups are not dissolved as stalled since their members may only pause. */
  public int groupsHeldBack() {
    return stallCheck.heldBack();
  }

  /** Returns how many nodes are known to be slow. */
  public int slowNodes() {
    return paces.slowCount();
  }

  /** Returns how many exchanges for the pace of nodes were begun. */
  public int paceExchanges() {
    return paceExchanges.count();
  }

  /** Returns the expected gain of the exchanges for pace, in nodes of normal pace. */
  public double nodesGainedByPace() {
    return paceExchanges.nodesGained();
  }

  /**
   * Returns the groups that were opened or dissolved recently. Other daemons use them before the
   * list shows the change.
   */
  public RecentGroups recent() {
    return recentGroups;
  }

  private void recordOpened(EngineSpec engine, long now) {
    recentGroups.removeExpired(groups.keySet(), now);
    for (FormationAttempt attempt : assembler.attempts()) {
      boolean mayServe =
          attempt.openedNanos >= 0 && now - attempt.openedNanos >= engine.formMillis() * MILLI;
      if (mayServe) {
        recentGroups.opened(attempt.key, attempt.model.name(), now);
      }
    }
  }

  /** Logs for each join from which group the node is taken and why that group is released. */
  private void logMoves(OrderSink sink, long now) {
    for (GroupOrder order : sink.orders()) {
      GroupKey group = tracker.group(order.node().id());
      if (order.kind() == GroupOrder.Kind.JOIN && group != null) {
        String source = "node=" + order.node().id() + " group=" + order.group();
        String evidence = dissolver.evidence(group, now).name().toLowerCase(Locale.ROOT);
        logLines.add(source + " taken_from=" + group.name() + " evidence=" + evidence);
      }
    }
  }

  private void checkGroups(Input input, long now) {
    for (ObservedGroup group : groups.values()) {
      if (!dissolver.handles(group.key()) && !assembler.handles(group.key())) {
        check(group, input, now);
      }
    }
  }

  private void check(ObservedGroup group, Input input, long now) {
    ModelSpec model = modelOf(group, input.engine());
    if (stalledHeads.contains(group.key().headAtEpoch())) {
      dissolve(group, Dissolution.Manner.IMMEDIATE, "its head stands still", now);
    } else if (model != null && group.isComplete(model.size())) {
      missingMembers.markComplete(group.key());
      adoptUnlessOpen(group, model, now);
    } else if (group.hasDrainingMember()) {
      dissolveUnlessTooMany(group, now);
    } else if (!mayRecover(group, now)) {
      dissolve(group, Dissolution.Manner.IMMEDIATE, "a member is missing or broken", now);
    }
  }

  /**
   * Dissolves a group with a draining member, unless many groups are being dissolved already. A
   * draining member keeps serving for a while, so the group can wait until others are formed again.
   */
  private void dissolveUnlessTooMany(ObservedGroup group, long now) {
    boolean tooMany = dissolver.pendingCount(now) >= 1 + groups.size() / GROUPS_PER_DISSOLUTION;
    if (!group.headMayServe() || !tooMany || drainingMembers.hasTimedOut(group.key(), now)) {
      dissolve(group, Dissolution.Manner.GRACEFUL, "a member leaves", now);
    }
  }

  private void adoptUnlessOpen(ObservedGroup group, ModelSpec model, long now) {
    if (!group.anyMemberIs(MemberState.OPEN)) {
      assembler.adopt(group, model, now);
      logLines.add("group=" + group.key().name() + " adopted");
    }
  }

  private void dissolve(ObservedGroup group, Dissolution.Manner manner, String reason, long now) {
    dissolve(group.key(), ids(group.members()), manner, reason, now);
  }

  /**
   * A group may recover if entries are missing from the list, but not if a member drains or is
   * broken.
   */
  private boolean mayRecover(ObservedGroup group, long now) {
    boolean wasServing = group.head() == null || group.anyMemberIs(MemberState.OPEN);
    boolean lacksOnlyEntries = wasServing && group.hasOnlyHealthyMembers();
    return policy.cutsAreNoDeaths() && lacksOnlyEntries && !missingMembers.hasTimedOut(group, now);
  }

  private void checkAttempts(Map<String, Node> nodes, long now) {
    for (Assembler.Failed failed : assembler.endFinished(nodes, stalledHeads, logLines, now)) {
      FormationAttempt attempt = failed.attempt();
      if (attempt.headOrdered) {
        Dissolution.Manner manner = Dissolution.Manner.IMMEDIATE;
        dissolve(attempt.key, attempt.members, manner, failed.reason(), now);
      } else {
        logLines.add("group=" + attempt.key.name() + " given up reason=" + failed.reason());
      }
    }
  }

  private void dissolve(
      GroupKey key, List<String> members, Dissolution.Manner manner, String reason, long now) {
    dissolver.begin(key, members, manner, now);
    recentGroups.closed(key, now);
    if (manner == Dissolution.Manner.IMMEDIATE) {
      members.forEach(tracker::requireLivenessCheck);
    }
    logLines.add("group=" + key.name() + " epoch=" + key.epoch() + " dissolved reason=" + reason);
  }

  /**
   * Requests reports from nodes that did not answer or whose group was dissolved at once. Such
   * nodes join a group again only after they have answered.
   */
  private void requestLivenessChecks(Map<String, Node> nodes, OrderSink sink, long now) {
    for (Node node : nodes.values()) {
      String id = node.id();
      if (tracker.needsLivenessCheck(id)
          && !tracker.isBusy(id)
          && tracker.mayCheckAgain(id, now, LIVENESS_CHECK_INTERVAL_NANOS)) {
        sink.report(node);
      }
    }
  }

  /** Before the first request of a caller, the planner waits until the list stops growing. */
  private boolean isListSettled(long now) {
    return limiter.isEnforced() || listSettling.isSettled(now);
  }

  /**
   * Tells whether the demand is known well enough to exchange groups. Before the first request,
   * only the declared demand exists and exchanges cost nothing. A leader that starts among serving
   * groups waits until it has observed demand, so that it doesn't dissolve them for the declared
   * shares: after a loss of power the first leader dissolved five groups in 0.1 s for these.
   */
  private boolean isDemandKnown(Input input) {
    return !limiter.isEnforced() || input.demand().isObserved();
  }

  /**
   * Dissolves groups that are slow because of some of their nodes, so that the others form groups
   * of normal pace.
   */
  private void exchangeForPace(Input input, Map<String, Node> nodes, long now) {
    if (!policy.pace()) {
      return;
    }
    paceExchanges.update(nodes.keySet(), key -> dissolver.isFree(key, now));
    if (!isListSettled(now) || paces.slowCount() == 0) {
      return;
    }
    EngineSpec engine = input.engine();
    List<ObservedGroup> stable = state.reachableStableGroups();
    Map<String, List<ObservedGroup>> mixed =
        paceExchanges.candidates(stable, engine, paces, state.busyDomains(nodes), now);
    if (mixed.isEmpty()) {
      return;
    }
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Map<String, Integer> groupCounts = state.groupCounts(engine);
    JoinRule rule = joinRule(engine, mix, groupCounts, nodes.values());
    Map<String, Double> capacity = PaceCounts.capacity(groupCounts, stable, engine, paces);
    PaceExchangePolicy choice = new PaceExchangePolicy(engine, mix, rule, paces, capacity);
    paceExchanges
        .begin(choice, mixed, state.free(nodes, now), PaceCounts.byModel(stable, engine), now)
        .forEach((domain, plan) -> beginForPace(domain, plan, now));
  }

  private void beginForPace(String domain, PaceExchangePolicy.Plan plan, long now) {
    logLines.add("domain=" + domain + " exchanges for pace " + plan.describe());
    List<Integer> none = plan.packing().stream().map(count -> 0).toList();
    String slowPart = PaceDomains.slowPart(domain);
    exchanges.begin(domain, new ExchangePolicy.Plan(plan.victims(), plan.packing()), now);
    exchanges.begin(slowPart, new ExchangePolicy.Plan(plan.victims(), none), now);
    for (ObservedGroup group : plan.victims()) {
      dissolve(group, Dissolution.Manner.GRACEFUL, "a slow member slows the others", now);
    }
  }

  /**
   * Dissolves groups whose nodes, together with the free ones, serve callers better as another
   * model.
   */
  private void exchange(Input input, Map<String, Node> nodes, long now) {
    exchanges.removeFinished(key -> dissolver.isFree(key, now), dissolver::isHeadUnresponsive, now);
    if (!policy.exchange() || !isListSettled(now) || !isDemandKnown(input)) {
      return;
    }
    Map<String, List<Node>> free = state.free(nodes, now);
    idleTimes.update(free.values(), now);
    Set<String> busy = state.busyDomains(nodes);
    boolean isSettling = !busy.isEmpty() || exchanges.isCoolingDown(now);
    ExpectedGroups expected = expectedGroups(input, nodes);
    ExchangePolicy choice = exchangePolicy(input, nodes.values(), expected);
    logMix(choice, now);
    for (Map.Entry<String, List<ObservedGroup>> domain : stableGroups(now).entrySet()) {
      List<Node> spare = free.getOrDefault(domain.getKey(), List.of());
      boolean deferred = spare.isEmpty() && isSettling;
      boolean stable = !busy.contains(domain.getKey()) && !expected.anyIn(domain.getKey());
      if (deferred || !stable) {
        continue;
      }
      ExchangePolicy.Plan plan = choice.plan(spare, domain.getValue());
      if (plan != null) {
        begin(domain.getKey(), plan, choice, now);
        choice = exchangePolicy(input, nodes.values(), expected);
      }
    }
  }

  /**
   * Logs the groups and the demand of each model, so that the log shows why no exchange was made.
   */
  private void logMix(ExchangePolicy choice, long now) {
    if (now - lastMixLogNanos >= MIX_LOG_INTERVAL_NANOS) {
      lastMixLogNanos = now;
      logLines.add("mix" + choice.describeMix());
    }
  }

  private ExchangePolicy exchangePolicy(
      Input input, Collection<Node> nodes, ExpectedGroups expected) {
    EngineSpec engine = input.engine();
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Map<String, Integer> groupCounts = state.groupCounts(engine);
    expected.addTo(groupCounts);
    if (paces.slowCount() > 0) {
      groupCounts =
          PaceCounts.withoutSlow(groupCounts, state.reachableStableGroups(), engine, paces);
    }
    return new ExchangePolicy(engine, mix, groupCounts, joinRule(engine, mix, groupCounts, nodes));
  }

  private ExpectedGroups expectedGroups(Input input, Map<String, Node> nodes) {
    EngineSpec engine = input.engine();
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Map<String, Integer> groupCounts = state.groupCounts(engine);
    JoinRule rule = joinRule(engine, mix, groupCounts, nodes.values());
    return ExpectedGroups.of(engine, mix, groupCounts, rule, state.soonFree(nodes));
  }

  private void begin(String domain, ExchangePolicy.Plan plan, ExchangePolicy choice, long now) {
    logLines.add("domain=" + domain + " exchanges " + choice.describe(plan));
    exchanges.begin(domain, plan, now);
    if (policy.pace()) {
      paceExchanges.recordExchange(plan.victims(), now);
    }
    for (ObservedGroup group : plan.victims()) {
      dissolve(group, Dissolution.Manner.GRACEFUL, "its nodes serve more as another model", now);
    }
  }

  /**
   * Reachable groups that are neither being formed nor dissolved, by domain, without those that are
   * slow or whose nodes were exchanged for pace recently.
   */
  private Map<String, List<ObservedGroup>> stableGroups(long now) {
    Map<String, List<ObservedGroup>> byDomain = new LinkedHashMap<>();
    for (ObservedGroup group : groups.values()) {
      if (state.isStable(group) && paceExchanges.mayChangeModel(group, paces, now)) {
        String domain = group.members().get(0).domain();
        byDomain.computeIfAbsent(domain, name -> new ArrayList<>()).add(group);
      }
    }
    return byDomain;
  }

  private void form(Input input, Map<String, Node> nodes, long now) {
    if (!isListSettled(now)) {
      return;
    }
    EngineSpec engine = input.engine();
    Map<String, Integer> groupCounts = state.groupCounts(engine);
    Map<String, List<Node>> free = state.free(nodes, now);
    free.keySet().removeAll(state.domainsAwaitingLivenessChecks(nodes));
    free.keySet().removeAll(exchanges.domains());
    MixPlanner mix = new MixPlanner(engine, input.demand());
    JoinRule rule = joinRule(engine, mix, groupCounts, nodes.values());
    packings(mix, free, groupCounts, rule, engine)
        .forEach(
            (domain, packing) -> {
              for (FormationPolicy.Proposal proposal :
                  FormationPolicy.proposals(free.get(domain), packing, engine, rule)) {
                beginIfLoadsAllow(proposal, engine, groupCounts, now);
              }
            });
    formUnservedModels(free, engine, groupCounts, now);
  }

  private Map<String, List<Integer>> packings(
      MixPlanner mix,
      Map<String, List<Node>> free,
      Map<String, Integer> groupCounts,
      JoinRule rule,
      EngineSpec engine) {
    return paces.slowCount() == 0
        ? mix.choose(free, groupCounts, rule)
        : PaceCounts.packings(
            mix,
            free,
            groupCounts,
            PaceCounts.withoutSlow(groupCounts, state.reachableStableGroups(), engine, paces),
            rule,
            engine);
  }

  private JoinRule joinRule(
      EngineSpec engine, MixPlanner mix, Map<String, Integer> groupCounts, Collection<Node> nodes) {
    if (!limiter.isEnforced()) {
      return JoinRule.ANY;
    }
    return policy.scarceModels()
        ? new ScarceModels(
            engine, mix, groupCounts, nodes, node -> idleTimes.isIdleTooLong(node, lastPlanNanos))
        : JoinRule.HOLDERS;
  }

  private void formUnservedModels(
      Map<String, List<Node>> free, EngineSpec engine, Map<String, Integer> groupCounts, long now) {
    Set<String> taken = assembler.assignedNodes();
    for (List<Node> nodes : free.values()) {
      List<Node> remaining = nodes.stream().filter(node -> !taken.contains(node.id())).toList();
      FormationPolicy.Proposal proposal =
          FormationPolicy.proposalForUnserved(remaining, engine, groupCounts);
      if (proposal != null) {
        beginIfLoadsAllow(proposal, engine, groupCounts, now);
      }
    }
  }

  private void beginIfLoadsAllow(
      FormationPolicy.Proposal proposal,
      EngineSpec engine,
      Map<String, Integer> groupCounts,
      long now) {
    if (mayLoad(proposal.loads(), engine, now)) {
      begin(proposal, now);
      groupCounts.merge(proposal.model().name(), 1, Integer::sum);
    }
  }

  private boolean mayLoad(int loads, EngineSpec engine, long now) {
    int inProgress = assembler.loadsInProgress() + staging.inProgress();
    boolean tooMany =
        limiter.isEnforced() && inProgress > 0 && inProgress + loads > engine.loadsAtOnce();
    return loads == 0 || !tooMany && limiter.tryAcquire(loads, engine.loadsPerSecond(), now);
  }

  private void begin(FormationPolicy.Proposal proposal, long now) {
    highestEpoch++;
    List<String> members = ids(proposal.members());
    GroupKey key = GroupKey.of(namePrefix + nextName, members.get(0), highestEpoch);
    nextName++;
    assembler.begin(key, proposal, members, now);
    logLines.add(
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

  /** Models of the groups that are being formed, by domain. */
  private Map<String, List<ModelSpec>> modelsInFormation(Map<String, Node> nodes) {
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
    staging.removeFinished(nodes, now);
    if (!isListSettled(now)) {
      return;
    }
    EngineSpec engine = input.engine();
    MixPlanner mix = new MixPlanner(engine, input.demand());
    Set<String> forming = assembler.assignedNodes();
    for (StagingPlanner.Candidate candidate :
        staging.candidates(
            nodes.values(), engine, mix, state.groupCounts(engine), modelsInFormation(nodes))) {
      Node node = candidate.node();
      boolean idle = !tracker.isBusy(node.id()) && !tracker.needsLivenessCheck(node.id());
      boolean due = idle && !forming.contains(node.id()) && !input.isEvacuated(node);
      if (due && mayLoad(1, engine, now)) {
        staging.started(candidate, now);
        sink.stage(node, candidate.model().name());
        logLines.add("node=" + node.id() + " stages model=" + candidate.model().name());
      }
    }
  }

  /**
   * Processes the outcome of an order. Outcomes of orders to an earlier incarnation of a node are
   * ignored.
   *
   * @param now the monotonic time, in nanoseconds
   */
  public void outcome(GroupOrder order, GroupOrder.Outcome outcome, long now) {
    String id = order.node().id();
    if (!incarnations.isCurrent(order.node())) {
      return;
    }
    switch (outcome) {
      case BEGUN -> tracker.recordAnswer(order, true);
      case DONE -> tracker.recordAnswer(order, false);
      case UNKNOWN -> tracker.recordNoAnswer(id, now);
      case GONE -> tracker.recordUnreachable(id, now);
      case OTHER_NODE -> tracker.recordReplaced(order.node(), now);
      default -> tracker.invalidateOrders(id);
    }
    assembler.outcome(order, outcome, now);
    dissolver.outcome(order, outcome, now);
  }

  /**
   * Processes the report of a node. Reports that were requested from an earlier incarnation of a
   * node are ignored.
   *
   * @param node the node that was asked
   * @param outcome its report, or why none was received. A report of another incarnation shows that
   *     the one that was asked has ended
   * @param now the monotonic time, in nanoseconds
   */
  public void report(Node node, ReportOutcome outcome, long now) {
    if (!incarnations.isCurrent(node)) {
      return;
    }
    stallCheck.record(node, outcome, now);
    NodeReport report = outcome.reportOf(node);
    if (report == null || tracker.isReplaced(node)) {
      tracker.recordUnreachable(node.id(), now);
      return;
    }
    if (policy.pace()) {
      paceReports.record(node, report, now);
    }
    Membership membership = report.membership();
    GroupKey key = membership == null ? null : new GroupKey(membership.group(), membership.epoch());
    tracker.recordReport(node.id(), report.orders(), key, now);
    assembler.report(node.id(), membership);
    dissolver.report(node.id(), membership, now);
  }

  static @Nullable ModelSpec modelOf(ObservedGroup group, EngineSpec engine) {
    for (Node node : group.members()) {
      String model = node.model();
      if (model != null) {
        return engine.model(model);
      }
    }
    return null;
  }

  static List<String> ids(Collection<Node> nodes) {
    return nodes.stream().map(Node::id).toList();
  }
}
