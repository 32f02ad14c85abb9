package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.peer.FencingToken;
import org.jspecify.annotations.Nullable;

/**
 * One run of leaders and nodes in virtual time, with losses, late and unanswered orders, stale
 * lists and changes of leader. Two leaders may share a term, as those on both sides of a cut do.
 */
final class FormationSimulation {

  private static final long MILLI = SimulatedNodes.MILLI;
  private static final int STEPS = 900;

  /** Entries of nodes that don't write lapse after so long. */
  private static final long LAPSE_NANOS = 3_600 * MILLI;

  final Random random;
  final SimulatedNodes nodes = new SimulatedNodes(GroupPlannerTest.ENGINE);
  final List<Leader> leaders = new ArrayList<>();
  final double lateShare;
  final Terms terms;
  private @Nullable Random restarts;
  private @Nullable Random suspensions;
  private @Nullable Random rests;
  private @Nullable RollbackStore store;
  private boolean knownGoesBefore;
  int ordersToResting;

  /** Groups that serve, whole, added up over the steps. */
  long servedSteps;

  ModelDemand demand = ModelDemand.declared(GroupPlannerTest.ENGINE);
  long now;
  final Random claims = new Random(1);
  long term;
  long claim;
  int named;
  int added;

  /** Whether a new leader raises the term. */
  enum Terms {
    /** Each leader has a term of its own. */
    APART,
    /** Some claim the term that stands, by claims of their own, and are cut off from nodes. */
    SHARED,
    /** As before, but their orders carry the same fence, so that only the nodes' counts hold. */
    SHARED_WITH_ONE_FENCE
  }

  /** A leader and the list as it saw it last. */
  private static final class Leader {
    final GroupPlanner planner;
    final long fence;
    List<Node> list = List.of();
    Set<String> resting = Set.of();
    final Map<String, Long> restsUntil = new HashMap<>();
    long frozenUntil;
    long aloneUntil;
    long suspendedUntil;

    /** What its steady clock has not counted. */
    long behind;

    String ownDomain = "";

    final RestoredNodes restored = new RestoredNodes();
    final Set<String> gone = new HashSet<>();
    Map<String, Node> known = Map.of();
    long era = 1;

    Leader(GroupPlanner planner, long fence) {
      this.planner = planner;
      this.fence = fence;
    }
  }

  FormationSimulation(Random random, Terms terms) {
    this.random = random;
    this.terms = terms;
    this.lateShare = random.nextDouble() * 0.4;
    for (int index = 0; index < 9; index++) {
      add();
    }
    lead();
    if (random.nextBoolean()) {
      nodes.headsAreIdle();
    }
  }

  /** Nodes that died start again under their ids; what else happens stays as it was. */
  FormationSimulation withRestarts(long seed) {
    restarts = new Random(seed);
    return this;
  }

  /** Leaders' machines are suspended for seconds, which their steady clocks don't count. */
  FormationSimulation withSuspensions(long seed) {
    suspensions = new Random(seed);
    return this;
  }

  /** Nodes ask a leader for rest of seconds; while it lasts they must be sent nothing by it. */
  FormationSimulation withRests(long seed) {
    rests = new Random(seed);
    return this;
  }

  /**
   * The store goes back to copies of some seconds ago.
   *
   * @param goesBefore whether leaders hold on to what they knew, or take what the store lists
   */
  FormationSimulation withReturns(long seed, boolean goesBefore) {
    store = new RollbackStore(new Random(seed));
    knownGoesBefore = goesBefore;
    return this;
  }

  /** The list as a leader takes it. */
  private List<Node> look(Leader leader) {
    RollbackStore listing = store;
    if (listing == null) {
      return nodes.list(LAPSE_NANOS);
    }
    Map<String, Node> listed = new LinkedHashMap<>(listing.listed());
    if (leader.era != listing.era()) {
      leader.era = listing.era();
      if (knownGoesBefore) {
        leader.restored.storeRolledBack(
            leader.known, leader.gone, listed, listing.places(), clockOf(leader));
      }
      leader.gone.clear();
    }
    leader.gone.addAll(leader.known.keySet());
    leader.gone.removeAll(listed.keySet());
    leader.known = listed;
    return List.copyOf(leader.restored.complete(listed, listing.places(), clockOf(leader)));
  }

  private void letSomeRest(Leader leader) {
    Random draws = rests;
    if (draws == null) {
      return;
    }
    for (String id : nodes.ids()) {
      if (draws.nextInt(120) == 0) {
        leader.restsUntil.put(id, now + (200 + draws.nextInt(5_000)) * MILLI);
      }
    }
    leader.restsUntil.values().removeIf(until -> until <= now);
    leader.resting = Set.copyOf(leader.restsUntil.keySet());
  }

  /** Tells whether a leader stands still; an order that it was answered waits until it wakes. */
  private boolean isSuspended(Leader leader) {
    Random draws = suspensions;
    if (draws != null && now >= leader.suspendedUntil && draws.nextInt(150) == 0) {
      long millis = 500 + draws.nextInt(8_000);
      leader.suspendedUntil = now + millis * MILLI;
    }
    boolean suspended = now < leader.suspendedUntil;
    leader.behind += suspended ? 50 * MILLI : 0;
    return suspended;
  }

  private long clockOf(Leader leader) {
    return now - leader.behind;
  }

  private void startSomeAgain() {
    Random draws = restarts;
    if (draws == null) {
      return;
    }
    for (String id : nodes.ids()) {
      if (nodes.isDead(id) && draws.nextInt(80) == 0) {
        nodes.startAgain(id);
      } else if (!nodes.isDead(id) && draws.nextInt(1_500) == 0) {
        nodes.kill(id);
      }
    }
  }

  void add() {
    nodes.add("n" + added, "domain" + added % 2);
    added++;
  }

  void lead() {
    boolean claimsTheTermThatStands = terms != Terms.APART && term > 0 && random.nextBoolean();
    term += claimsTheTermThatStands ? 0 : 1;
    named++;
    LoadLimiter limiter = new LoadLimiter(5_000 * MILLI);
    limiter.enforce();
    String name = "t" + named;
    GroupPlanner planner =
        new GroupPlanner(name + "-", SimulatedNodes.STALL_NANOS, limiter, Policy.DEFAULT);
    leaders.add(new Leader(planner, fence(name, !claimsTheTermThatStands)));
    if (leaders.size() > 2) {
      leaders.remove(0);
    }
  }

  /** A leader may have heard of the last claim in its term, or have made its own at that time. */
  private long fence(String name, boolean isFirst) {
    if (terms != Terms.SHARED) {
      return term;
    }
    boolean hasHeard = (claims.nextInt() & 1) == 0;
    claim = isFirst ? 1 : claim + (hasHeard ? 1 : 0);
    return FencingToken.of(term, claim, name);
  }

  void play() {
    for (int step = 0; step < STEPS; step++) {
      now += 50 * MILLI;
      nodes.advance(now);
      trouble();
      startSomeAgain();
      servedSteps += nodes.serving("large") + nodes.serving("small");
      RollbackStore listing = store;
      if (listing != null) {
        listing.advance(nodes.list(LAPSE_NANOS), now);
      }
      for (Leader leader : List.copyOf(leaders)) {
        act(leader);
      }
    }
  }

  void trouble() {
    if (random.nextInt(100) == 0) {
      double large = random.nextDouble();
      demand = new ModelDemand(Map.of("large", large, "small", 1 - large));
    }
    if (random.nextInt(60) == 0) {
      List<String> ids = new ArrayList<>(nodes.ids());
      String id = ids.get(random.nextInt(ids.size()));
      if (random.nextInt(3) == 0) {
        nodes.drain(id);
      } else {
        nodes.kill(id);
      }
      add();
    }
    if (random.nextInt(200) == 0) {
      lead();
    }
    if (random.nextInt(250) == 0) {
      long until = now + (3_000 + random.nextInt(5_000)) * MILLI;
      nodes.cutDomain("domain" + random.nextInt(2), until, random);
    }
  }

  /** Cuts a leader off from the store and from all nodes but those of one domain. */
  void cutOff(Leader leader) {
    leader.ownDomain = "domain" + random.nextInt(2);
    leader.aloneUntil = now + (2_000 + random.nextInt(6_000)) * MILLI;
    leader.frozenUntil = Math.max(leader.frozenUntil, leader.aloneUntil);
  }

  boolean reaches(Leader leader, Node node) {
    return now >= leader.aloneUntil || node.domain().equals(leader.ownDomain);
  }

  void act(Leader leader) {
    if (isSuspended(leader)) {
      return;
    }
    if (terms != Terms.APART && random.nextInt(200) == 0) {
      cutOff(leader);
    }
    if (random.nextInt(150) == 0) {
      leader.frozenUntil = now + random.nextInt(8_000) * MILLI;
    }
    if (now >= leader.frozenUntil) {
      leader.list = look(leader);
    }
    letSomeRest(leader);
    Set<String> stalled = new HashSet<>();
    for (String id : nodes.ids()) {
      if (random.nextInt(400) == 0) {
        stalled.add(id + "@" + epochOf(leader, id));
      }
    }
    GroupPlanner.Input input =
        new GroupPlanner.Input(
            leader.list,
            GroupPlannerTest.ENGINE,
            demand,
            stalled,
            GroupPlannerTest.SIGHT,
            leader.resting,
            leader.fence);
    for (GroupOrder order : leader.planner.plan(input, clockOf(leader))) {
      send(leader, order);
    }
  }

  long epochOf(Leader leader, String id) {
    for (Node node : leader.list) {
      if (node.id().equals(id) && node.membership() != null) {
        return node.membership().epoch();
      }
    }
    return 0;
  }

  void answerNothing(Leader leader, GroupOrder order) {
    if (order.kind() == GroupOrder.Kind.REPORT) {
      leader.planner.report(order.node(), null, clockOf(leader));
    } else {
      leader.planner.outcome(order, GroupOrder.Outcome.UNKNOWN, clockOf(leader));
    }
  }

  void send(Leader leader, GroupOrder order) {
    ordersToResting += leader.resting.contains(order.node().id()) ? 1 : 0;
    if (!reaches(leader, order.node())) {
      answerNothing(leader, order);
    } else if (order.kind() == GroupOrder.Kind.REPORT) {
      leader.planner.report(order.node(), nodes.report(order.node().id()), clockOf(leader));
    } else if (random.nextInt(40) == 0) {
      // A cut that resets connections looks like an address where nothing listens.
      leader.planner.outcome(order, GroupOrder.Outcome.GONE, clockOf(leader));
    } else if (random.nextDouble() < lateShare) {
      nodes.orderLate(order, (2_000 + random.nextInt(10_000)) * MILLI);
      leader.planner.outcome(order, GroupOrder.Outcome.UNKNOWN, clockOf(leader));
    } else {
      leader.planner.outcome(order, nodes.order(order), clockOf(leader));
    }
  }
}
