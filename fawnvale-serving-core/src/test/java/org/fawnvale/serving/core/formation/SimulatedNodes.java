package org.fawnvale.serving.core.formation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * Nodes that follow the published rules of orders, in virtual time, and the oracle that watches two
 * promises: no head serves a group that is short of a member, and no node joins another group while
 * the head of its own may still serve.
 */
final class SimulatedNodes {

  static final long MILLI = 1_000_000L;
  static final long STALL_NANOS = 4_000 * MILLI;

  final List<String> violations = new ArrayList<>();
  private final EngineSpec engine;
  private final Map<String, Life> lives = new LinkedHashMap<>();
  private final Queue<Late> late =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos, b.atNanos));
  private final Map<String, Deque<Told>> told = new HashMap<>();
  private long now;
  private long reportLagNanos;
  private boolean idleHeads;

  /** What a node could report at a time. */
  private record Told(long atNanos, NodeReport report) {}

  private record Late(long atNanos, GroupOrder order) {}

  /** One node. */
  private static final class Life {
    final String id;
    final String domain;
    long startedMillis;
    boolean dead;
    boolean draining;
    boolean loads;
    boolean refuses;
    boolean hidden;
    long cutUntil = Long.MIN_VALUE / 2;
    long cutSince = Long.MIN_VALUE / 2;
    long relistedAt = Long.MIN_VALUE / 2;
    long deadSince;
    long orders;
    long highestFence;
    long highestEpoch;
    String group;
    long epoch;
    int rank;
    List<String> members = List.of();
    MemberState state = MemberState.JOINING;
    long readyAt;
    String model;
    String staged;
    String stagingModel;
    long stagedAt;
    long brokenAt = Long.MAX_VALUE;
    final Map<String, List<String>> lists = new HashMap<>();
    final Set<String> everReady = new HashSet<>();

    Life(String id, String domain) {
      this.id = id;
      this.domain = domain;
    }

    boolean serves() {
      return group != null
          && rank == 0
          && (state == MemberState.OPEN || state == MemberState.CLOSING);
    }
  }

  SimulatedNodes(EngineSpec engine) {
    this.engine = engine;
  }

  void add(String id, String domain) {
    lives.put(id, new Life(id, domain));
  }

  void kill(String id) {
    Life life = lives.get(id);
    if (!life.dead) {
      life.dead = true;
      life.deadSince = now;
      stall(life);
    }
  }

  /** A node that died starts again under its id; only the weights on its host are left. */
  void startAgain(String id) {
    Life life = lives.get(id);
    if (life.dead) {
      life.dead = false;
      life.startedMillis = Math.max(life.startedMillis + 1, now / MILLI);
      life.orders = 0;
      life.highestFence = 0;
      life.highestEpoch = 0;
      life.group = null;
      life.model = null;
      life.stagingModel = null;
      life.state = MemberState.JOINING;
      life.brokenAt = Long.MAX_VALUE;
      life.lists.clear();
      told.remove(id);
    }
  }

  /** A cut resets all connections to the node, which goes on serving. */
  void refuseConnections(String id) {
    lives.get(id).refuses = true;
  }

  /**
   * Cuts a domain off from leaders and from the list for a while; its nodes go on. Afterwards their
   * entries come back one by one.
   */
  void cutDomain(String domain, long untilNanos, java.util.Random random) {
    for (Life life : lives.values()) {
      if (life.domain.equals(domain) && life.cutUntil < now) {
        life.cutSince = now;
        life.cutUntil = untilNanos;
        life.relistedAt = untilNanos + random.nextInt(900) * MILLI;
      }
    }
  }

  /** The node lost the store and serves on. */
  void hideEntry(String id, boolean hidden) {
    lives.get(id).hidden = hidden;
  }

  /** Heads without work never notice that they are short of a member. */
  void headsAreIdle() {
    idleHeads = true;
  }

  void drain(String id) {
    lives.get(id).draining = true;
  }

  boolean isDead(String id) {
    return lives.get(id).dead;
  }

  Collection<String> ids() {
    return lives.keySet();
  }

  /** Moves time on: loads end, broken heads stop, late orders are carried out. */
  void advance(long toNanos) {
    while (!late.isEmpty() && late.peek().atNanos <= toNanos) {
      Late order = late.poll();
      step(order.atNanos);
      carryOut(order.order);
    }
    step(toNanos);
    if (reportLagNanos > 0) {
      remember();
    }
  }

  private void step(long toNanos) {
    now = toNanos;
    for (Life life : lives.values()) {
      if (life.stagingModel != null && life.stagedAt <= now) {
        life.staged = life.stagingModel;
        life.stagingModel = null;
      }
      boolean loaded = life.group != null && life.state == MemberState.JOINING;
      if (loaded && life.readyAt <= now) {
        life.state = MemberState.READY;
        life.everReady.add(life.group + "/" + life.epoch);
        life.staged = life.loads ? life.model : life.staged;
      }
      if (life.brokenAt <= now && life.group != null) {
        life.state = MemberState.BROKEN;
      }
    }
  }

  /** The list as the platform shows it; dead nodes stay listed for a while. */
  List<Node> list(long lagNanos) {
    List<Node> nodes = new ArrayList<>();
    for (Life life : lives.values()) {
      boolean cutAway = now - life.cutSince >= lagNanos && now < life.relistedAt;
      boolean listed = !life.dead && !cutAway || life.dead && now - life.deadSince < lagNanos;
      if (listed && !life.hidden) {
        nodes.add(node(life));
      }
    }
    return nodes;
  }

  private Node node(Life life) {
    Membership place =
        life.group == null ? null : new Membership(life.group, life.epoch, life.rank, life.state);
    List<String> staged = life.staged == null ? List.of() : List.of(life.staged);
    return new Node(
        new NodeIncarnation(life.id, life.startedMillis),
        "engines",
        new Endpoint("127.0.0.1", 1),
        "a",
        1,
        life.draining,
        life.domain,
        life.group == null ? null : life.model,
        staged,
        place);
  }

  /** Carries an order out and answers. */
  GroupOrder.Outcome order(GroupOrder order) {
    Life life = lives.get(order.node().id());
    if (life.refuses) {
      return GroupOrder.Outcome.GONE;
    }
    return life.dead || now < life.cutUntil ? GroupOrder.Outcome.UNKNOWN : carryOut(order);
  }

  /** Takes an order without an answer and carries it out later. */
  void orderLate(GroupOrder order, long delayNanos) {
    late.add(new Late(now + delayNanos, order));
  }

  NodeReport report(String id) {
    Life life = lives.get(id);
    if (life.dead || life.refuses || now < life.cutUntil) {
      return null;
    }
    Deque<Told> past = told.getOrDefault(id, new ArrayDeque<>());
    return reportLagNanos == 0 || past.isEmpty() ? reportNow(life) : past.peekFirst().report();
  }

  private NodeReport reportNow(Life life) {
    Node node = node(life);
    return new NodeReport(
        node.model(), node.staged(), node.membership(), life.orders, life.startedMillis);
  }

  /** Reports are of a while earlier, count and group alike. */
  void reportsLag(long lagNanos) {
    reportLagNanos = lagNanos;
  }

  private void remember() {
    for (Life life : lives.values()) {
      Deque<Told> past = told.computeIfAbsent(life.id, id -> new ArrayDeque<>());
      past.addLast(new Told(now, reportNow(life)));
      while (past.size() > 1 && past.peekFirst().atNanos() < now - reportLagNanos) {
        past.removeFirst();
      }
    }
  }

  private GroupOrder.Outcome carryOut(GroupOrder order) {
    Life life = lives.get(order.node().id());
    if (life.dead) {
      return GroupOrder.Outcome.UNKNOWN;
    }
    if (order.fence() < life.highestFence) {
      return GroupOrder.Outcome.FENCED;
    }
    life.highestFence = order.fence();
    if (order.expectedOrders() >= 0 && order.expectedOrders() != life.orders) {
      return GroupOrder.Outcome.CONFLICT;
    }
    return carryOut(life, order);
  }

  private GroupOrder.Outcome carryOut(Life life, GroupOrder order) {
    return switch (order.kind()) {
      case JOIN -> join(life, order);
      case OPEN -> open(life, order);
      case CLOSE -> close(life, order);
      case LEAVE -> leave(life, order);
      case STAGE -> stage(life, order);
      case REPORT -> throw new IllegalArgumentException("A report is no order.");
    };
  }

  private GroupOrder.Outcome join(Life life, GroupOrder order) {
    String key = order.group() + "/" + order.epoch();
    boolean otherList = life.lists.containsKey(key) && !life.lists.get(key).equals(order.members());
    if (order.epoch() < life.highestEpoch || otherList) {
      return GroupOrder.Outcome.FENCED;
    }
    if (order.group().equals(life.group) && order.epoch() == life.epoch) {
      return GroupOrder.Outcome.DONE;
    }
    Life head = life.group == null ? null : lives.get(life.members.get(0));
    boolean ownHead =
        head != null && life.group.equals(head.group) && life.epoch == head.epoch && !head.dead;
    if (ownHead && head.serves() && head.brokenAt > now) {
      violations.add(
          now / MILLI
              + " ms: "
              + life.id
              + " joins "
              + key
              + " while "
              + head.id
              + " may serve "
              + life.group);
    }
    ModelSpec model = engine.model(order.model());
    stall(life);
    boolean same = order.model().equals(life.model);
    boolean warm = order.model().equals(life.staged);
    life.group = order.group();
    life.epoch = order.epoch();
    life.highestEpoch = order.epoch();
    life.members = order.members();
    life.lists.put(key, order.members());
    life.rank = order.members().indexOf(life.id);
    life.model = order.model();
    life.state = MemberState.JOINING;
    life.brokenAt = Long.MAX_VALUE;
    int millis = same ? 200 : warm ? model.warmMillis() : model.loadMillis();
    life.readyAt = now + millis * MILLI;
    life.loads = !same && !warm;
    life.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  private boolean inGroup(Life life, GroupOrder order) {
    return order.group().equals(life.group) && order.epoch() == life.epoch;
  }

  private GroupOrder.Outcome open(Life life, GroupOrder order) {
    if (!inGroup(life, order) || life.state == MemberState.JOINING) {
      return GroupOrder.Outcome.CONFLICT;
    }
    if (life.state == MemberState.OPEN) {
      return GroupOrder.Outcome.DONE;
    }
    for (String id : life.members) {
      Life member = lives.get(id);
      // The platform's rule: a member that was ready under this name and epoch and is lost since
      // excuses the head, which stands still then; one that never was ready does not.
      boolean wasReady = member.everReady.contains(order.group() + "/" + order.epoch());
      if (!wasReady) {
        violations.add(
            now / MILLI + " ms: " + life.id + " opens " + order.group() + " without " + member.id);
      }
    }
    life.state = MemberState.OPEN;
    life.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  private GroupOrder.Outcome close(Life life, GroupOrder order) {
    if (!inGroup(life, order) || !life.serves()) {
      return GroupOrder.Outcome.CONFLICT;
    }
    life.state = MemberState.READY;
    life.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  /** Leaving takes effect at once; a node that is not in the group says that it holds already. */
  private GroupOrder.Outcome leave(Life life, GroupOrder order) {
    if (inGroup(life, order)) {
      stall(life);
      life.group = null;
      life.orders++;
    }
    return GroupOrder.Outcome.DONE;
  }

  private GroupOrder.Outcome stage(Life life, GroupOrder order) {
    life.stagingModel = order.model();
    life.stagedAt = now + engine.model(order.model()).loadMillis() * MILLI;
    life.orders++;
    return GroupOrder.Outcome.BEGUN;
  }

  /** The group of a member that is lost stands still, and its head is broken after a while. */
  private void stall(Life member) {
    if (member.group == null) {
      return;
    }
    Life head = lives.get(member.members.get(0));
    boolean same = member.group.equals(head.group) && member.epoch == head.epoch;
    if (same && head != member && !idleHeads) {
      head.brokenAt = Math.min(head.brokenAt, now + STALL_NANOS);
    }
  }

  /** Groups whose heads are open and whose members are all alive and in place. */
  int serving(String model) {
    int serving = 0;
    for (Life head : lives.values()) {
      if (head.serves() && !head.dead && head.brokenAt > now && model.equals(head.model)) {
        boolean whole = true;
        for (String id : head.members) {
          Life member = lives.get(id);
          whole &= !member.dead && head.group.equals(member.group) && head.epoch == member.epoch;
        }
        serving += whole ? 1 : 0;
      }
    }
    return serving;
  }
}
