package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * Simulates nodes that follow the platform's rules for orders, in virtual time, and records
 * violations of two invariants: a head serves only with all members, and a node joins another group
 * only when the head of its own can't serve any longer.
 */
final class SimulatedNodes {

  static final long MILLI = 1_000_000L;
  static final long STALL_NANOS = 4_000 * MILLI;

  /** Entries of nodes that don't write lapse after this time. */
  static final long LAPSE_NANOS = 3_600 * MILLI;

  final List<String> violations = new ArrayList<>();
  private final EngineSpec engine;
  private final Map<String, SimulatedNode> byId = new LinkedHashMap<>();
  private final Queue<DelayedOrder> delayedOrders =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos, b.atNanos));
  private final DelayedReports reports = new DelayedReports();
  private long now;
  private boolean idleHeads;
  private long drainNanos;

  private record DelayedOrder(long atNanos, GroupOrder order) {}

  SimulatedNodes(EngineSpec engine) {
    this.engine = engine;
  }

  void add(String id, String domain) {
    byId.put(id, new SimulatedNode(id, domain));
  }

  void kill(String id) {
    SimulatedNode simulated = byId.get(id);
    if (!simulated.dead) {
      simulated.dead = true;
      simulated.deadSince = now;
      stall(simulated);
    }
  }

  /**
   * Ends a node. A process with another id takes its address at once, and is not listed before the
   * entry of the former one has lapsed.
   */
  void replace(String id) {
    kill(id);
    SimulatedNode former = byId.get(id);
    SimulatedNode successor = new SimulatedNode(id + "s", former.domain);
    successor.hidden = true;
    successor.staged = former.staged;
    former.successor = successor;
    byId.put(successor.id, successor);
  }

  /** Returns the process at a node's address. */
  private SimulatedNode processAt(String id) {
    SimulatedNode listed = byId.get(id);
    return listed.dead && listed.successor != null ? listed.successor : listed;
  }

  private void listSuccessors() {
    for (SimulatedNode former : byId.values()) {
      SimulatedNode successor = former.successor;
      if (successor != null && now - former.deadSince >= LAPSE_NANOS) {
        successor.hidden = false;
      }
    }
  }

  /** Restarts a dead node under its id; only the weights on its host are left. */
  void restart(String id) {
    SimulatedNode simulated = byId.get(id);
    if (simulated.dead) {
      simulated.dead = false;
      simulated.startedMillis = Math.max(simulated.startedMillis + 1, now / MILLI);
      simulated.orders = 0;
      simulated.highestFence = 0;
      simulated.highestEpoch = 0;
      simulated.group = null;
      simulated.model = null;
      simulated.stagingModel = null;
      simulated.state = MemberState.JOINING;
      simulated.brokenAt = Long.MAX_VALUE;
      simulated.memberLists.clear();
      reports.forget(id);
    }
  }

  /** Resets all connections to the node, as a network partition may; the node serves on. */
  void refuseConnections(String id) {
    byId.get(id).refusesConnections = true;
  }

  /**
   * Partitions a domain from leaders and from the list for a while; its nodes run on. Afterwards
   * their entries reappear one by one.
   */
  void partitionDomain(String domain, long untilNanos, java.util.Random random) {
    for (SimulatedNode simulated : byId.values()) {
      if (simulated.domain.equals(domain) && simulated.partitionedUntil < now) {
        simulated.partitionedSince = now;
        simulated.partitionedUntil = untilNanos;
        simulated.relistedAt = untilNanos + random.nextInt(900) * MILLI;
      }
    }
  }

  /** Hides the entry of a node that has lost its connection to the store and serves on. */
  void hideEntry(String id, boolean hidden) {
    byId.get(id).hidden = hidden;
  }

  /** Makes heads idle, so that they never notice that a member is missing. */
  void makeHeadsIdle() {
    idleHeads = true;
  }

  void drain(String id) {
    byId.get(id).draining = true;
  }

  /** Sets how long closing heads need for their requests. */
  void setDrainMillis(long millis) {
    drainNanos = millis * MILLI;
  }

  /** Sets the factor by which a node is slower than published. */
  void setPace(String id, double pace) {
    byId.get(id).pace = pace;
  }

  double pace(String id) {
    return byId.get(id).pace;
  }

  /** Ids of the heads that serve although a member of their group is slow. */
  Set<String> slowHeads() {
    Set<String> slow = new HashSet<>();
    for (SimulatedNode head : byId.values()) {
      if (head.serves() && head.members.stream().anyMatch(id -> byId.get(id).pace >= 2)) {
        slow.add(head.id);
      }
    }
    return slow;
  }

  boolean isDead(String id) {
    return byId.get(id).dead;
  }

  Collection<String> ids() {
    return byId.keySet();
  }

  /** Advances time: loads finish, broken heads stop, delayed orders are executed. */
  void advance(long toNanos) {
    while (!delayedOrders.isEmpty() && delayedOrders.peek().atNanos <= toNanos) {
      DelayedOrder order = delayedOrders.poll();
      step(order.atNanos);
      execute(order.order);
    }
    step(toNanos);
    byId.values().forEach(simulated -> reports.record(simulated.id, reportNow(simulated), now));
  }

  private void step(long toNanos) {
    now = toNanos;
    listSuccessors();
    for (SimulatedNode simulated : byId.values()) {
      if (simulated.stagingModel != null && simulated.stagedAt <= now) {
        simulated.staged = simulated.stagingModel;
        simulated.stagingModel = null;
      }
      boolean loaded = simulated.group != null && simulated.state == MemberState.JOINING;
      if (loaded && simulated.readyAt <= now) {
        simulated.state = MemberState.READY;
        simulated.everReady.add(simulated.group + "/" + simulated.epoch);
        simulated.staged = simulated.loadsFromStore ? simulated.model : simulated.staged;
      }
      if (simulated.state == MemberState.CLOSING && simulated.drainedAt <= now) {
        simulated.state = MemberState.READY;
      }
      if (simulated.brokenAt <= now && simulated.group != null) {
        simulated.state = MemberState.BROKEN;
      }
    }
  }

  /** The list as the platform shows it; dead nodes stay listed for {@code lagNanos}. */
  List<Node> list(long lagNanos) {
    List<Node> nodes = new ArrayList<>();
    for (SimulatedNode simulated : byId.values()) {
      if (simulated.isListed(now, lagNanos)) {
        nodes.add(simulated.node());
      }
    }
    return nodes;
  }

  /** Executes an order and answers it. */
  GroupOrder.Outcome order(GroupOrder order) {
    SimulatedNode simulated = byId.get(order.node().id());
    if (simulated.dead && simulated.successor != null) {
      return GroupOrder.Outcome.OTHER_NODE;
    }
    if (simulated.refusesConnections) {
      return GroupOrder.Outcome.GONE;
    }
    return simulated.dead || now < simulated.partitionedUntil
        ? GroupOrder.Outcome.UNKNOWN
        : execute(order);
  }

  /**
   * Executes an order without an answer. The process at the address takes it, although it is meant
   * for another one.
   */
  void orderWithoutAnswer(GroupOrder order) {
    execute(processAt(order.node().id()), order);
  }

  /** Executes an order after a delay, without an answer. */
  void orderWithDelay(GroupOrder order, long delayNanos) {
    delayedOrders.add(new DelayedOrder(now + delayNanos, order));
  }

  ReportOutcome report(String id) {
    SimulatedNode simulated = processAt(id);
    if (simulated.dead || simulated.refusesConnections || now < simulated.partitionedUntil) {
      return ReportOutcome.Missing.REFUSED;
    }
    return new ReportOutcome.Received(reports.of(simulated.id, reportNow(simulated)));
  }

  private NodeReport reportNow(SimulatedNode simulated) {
    Node node = simulated.node();
    return new NodeReport(
        node.model(),
        node.staged(),
        node.membership(),
        simulated.orders,
        simulated.startedMillis,
        simulated.pace);
  }

  /** Delays the contents of reports, order count and group alike. */
  void delayReports(long lagNanos) {
    reports.delay(lagNanos);
  }

  private GroupOrder.Outcome execute(GroupOrder order) {
    return execute(processAt(order.node().id()), order);
  }

  private GroupOrder.Outcome execute(SimulatedNode simulated, GroupOrder order) {
    if (simulated.dead) {
      return GroupOrder.Outcome.UNKNOWN;
    }
    if (order.fence() < simulated.highestFence) {
      return GroupOrder.Outcome.FENCED;
    }
    simulated.highestFence = order.fence();
    if (order.expectedOrders() >= 0 && order.expectedOrders() != simulated.orders) {
      return GroupOrder.Outcome.CONFLICT;
    }
    return executeFitting(simulated, order);
  }

  private GroupOrder.Outcome executeFitting(SimulatedNode simulated, GroupOrder order) {
    return switch (order.kind()) {
      case JOIN -> join(simulated, order);
      case OPEN -> open(simulated, order);
      case CLOSE -> close(simulated, order);
      case LEAVE -> leave(simulated, order);
      case STAGE -> stage(simulated, order);
      case REPORT -> throw new IllegalArgumentException("A report is no order.");
    };
  }

  private GroupOrder.Outcome join(SimulatedNode simulated, GroupOrder order) {
    String key = order.group() + "/" + order.epoch();
    boolean otherMembers =
        simulated.memberLists.containsKey(key)
            && !simulated.memberLists.get(key).equals(order.members());
    if (order.epoch() < simulated.highestEpoch || otherMembers) {
      return GroupOrder.Outcome.FENCED;
    }
    if (order.group().equals(simulated.group) && order.epoch() == simulated.epoch) {
      return GroupOrder.Outcome.DONE;
    }
    SimulatedNode head = simulated.group == null ? null : byId.get(simulated.members.get(0));
    boolean headInSameGroup =
        head != null
            && simulated.group.equals(head.group)
            && simulated.epoch == head.epoch
            && !head.dead;
    if (headInSameGroup && head.serves() && head.brokenAt > now) {
      violations.add(
          now / MILLI
              + " ms: "
              + simulated.id
              + " joins "
              + key
              + " while "
              + head.id
              + " may serve "
              + simulated.group);
    }
    ModelSpec model = engine.model(order.model());
    stall(simulated);
    boolean sameModel = order.model().equals(simulated.model);
    boolean isStaged = order.model().equals(simulated.staged);
    simulated.group = order.group();
    simulated.epoch = order.epoch();
    simulated.highestEpoch = order.epoch();
    simulated.members = order.members();
    simulated.memberLists.put(key, order.members());
    simulated.rank = Math.max(0, order.members().indexOf(simulated.id));
    simulated.model = order.model();
    simulated.state = MemberState.JOINING;
    simulated.brokenAt = Long.MAX_VALUE;
    int millis = sameModel ? 200 : isStaged ? model.warmMillis() : model.loadMillis();
    simulated.readyAt = now + millis * MILLI;
    simulated.loadsFromStore = !sameModel && !isStaged;
    simulated.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  private boolean inGroup(SimulatedNode simulated, GroupOrder order) {
    return order.group().equals(simulated.group) && order.epoch() == simulated.epoch;
  }

  private GroupOrder.Outcome open(SimulatedNode simulated, GroupOrder order) {
    if (!inGroup(simulated, order) || simulated.state == MemberState.JOINING) {
      return GroupOrder.Outcome.CONFLICT;
    }
    if (simulated.state == MemberState.OPEN) {
      return GroupOrder.Outcome.DONE;
    }
    for (String id : simulated.members) {
      SimulatedNode member = byId.get(id);
      // By the platform's rule, a head may open without a member that was ready under this name and
      // epoch and failed since; the head is stalled then. A member that was never ready is a
      // violation.
      boolean wasReady = member.everReady.contains(order.group() + "/" + order.epoch());
      if (!wasReady) {
        violations.add(
            now / MILLI
                + " ms: "
                + simulated.id
                + " opens "
                + order.group()
                + " without "
                + member.id);
      }
    }
    simulated.state = MemberState.OPEN;
    simulated.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  private GroupOrder.Outcome close(SimulatedNode simulated, GroupOrder order) {
    if (!inGroup(simulated, order) || !simulated.serves()) {
      return GroupOrder.Outcome.CONFLICT;
    }
    simulated.state = drainNanos == 0 ? MemberState.READY : MemberState.CLOSING;
    simulated.drainedAt = now + drainNanos;
    simulated.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  /**
   * Takes effect at once. A node that isn't in the group answers that the order is done already.
   */
  private GroupOrder.Outcome leave(SimulatedNode simulated, GroupOrder order) {
    if (inGroup(simulated, order)) {
      stall(simulated);
      simulated.group = null;
      simulated.orders++;
    }
    return GroupOrder.Outcome.DONE;
  }

  private GroupOrder.Outcome stage(SimulatedNode simulated, GroupOrder order) {
    simulated.stagingModel = order.model();
    simulated.stagedAt = now + engine.model(order.model()).loadMillis() * MILLI;
    simulated.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  /** Stalls the group of a lost member; its head is broken after {@link #STALL_NANOS}. */
  private void stall(SimulatedNode member) {
    if (member.group == null) {
      return;
    }
    SimulatedNode head = byId.get(member.members.get(0));
    boolean sameModel = member.group.equals(head.group) && member.epoch == head.epoch;
    if (sameModel && head != member && !idleHeads) {
      head.brokenAt = Math.min(head.brokenAt, now + STALL_NANOS);
    }
  }

  /** Counts the groups whose heads are open and whose members are all alive and in the group. */
  int serving(String model) {
    return serving(model, Double.MAX_VALUE);
  }

  /** Counts those of them whose members are all of normal pace. */
  int servingAtNormalPace(String model) {
    return serving(model, 2);
  }

  private int serving(String model, double paceBelow) {
    int serving = 0;
    for (SimulatedNode head : byId.values()) {
      if (head.serves() && !head.dead && head.brokenAt > now && model.equals(head.model)) {
        boolean complete = true;
        for (String id : head.members) {
          SimulatedNode member = byId.get(id);
          complete &= member.pace < paceBelow;
          complete &= !member.dead && head.group.equals(member.group) && head.epoch == member.epoch;
        }
        serving += complete ? 1 : 0;
      }
    }
    return serving;
  }
}
