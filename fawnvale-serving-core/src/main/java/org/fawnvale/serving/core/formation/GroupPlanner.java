package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
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
  private static final long ATTEMPT_SLACK_NANOS = 2_500 * MILLI;
  private static final long REPORT_EVERY_NANOS = 400 * MILLI;
  private static final long BREAK_MARGIN_NANOS = 400 * MILLI;
  private static final long GRACE_NANOS = 3_000 * MILLI;
  private static final long GONE_NANOS = 20 * MILLI;

  private final String namePrefix;
  private final long stallNanos;
  private final LoadLimiter limiter;
  private final OrderLog log = new OrderLog();
  private final Map<GroupKey, Attempt> attempts = new LinkedHashMap<>();
  private final Map<GroupKey, Dissolution> dissolutions = new LinkedHashMap<>();
  private final Map<String, Long> staging = new HashMap<>();
  private final Map<String, Node> known = new HashMap<>();
  private final List<String> remarks = new ArrayList<>();
  private Map<GroupKey, GroupSeen> groups = Map.of();
  private long nextName;
  private long highestEpoch;

  /**
   * Creates a planner for one term of leadership.
   *
   * @param namePrefix begins the names of groups; never used by another leader or incarnation
   * @param stallNanos how long a group stands still after a loss until it is broken
   * @param limiter holds the loads below the weight store's rate
   */
  public GroupPlanner(String namePrefix, long stallNanos, LoadLimiter limiter) {
    this.namePrefix = namePrefix;
    this.stallNanos = stallNanos;
    this.limiter = limiter;
  }

  /** What a plan is made from. */
  public record Input(
      Collection<Node> nodes, EngineSpec engine, Set<String> stalledHeads, long fence) {}

  /**
   * Makes the orders that are due.
   *
   * @param input nodes of the engine service, the engines' arithmetic, heads that surely stand
   *     still, and the fencing token
   * @param now the steady time, in nanoseconds
   * @return the orders; each is to be answered by {@link #outcome} or {@link #report}
   */
  public List<GroupOrder> plan(Input input, long now) {
    Map<String, Node> nodes = new HashMap<>();
    for (Node node : input.nodes()) {
      nodes.put(node.id(), node);
      known.put(node.id(), node);
    }
    groups = GroupSeen.gather(input.nodes());
    groups.keySet().forEach(key -> highestEpoch = Math.max(highestEpoch, key.epoch()));
    List<GroupOrder> orders = new ArrayList<>();
    Orders sink = new Orders(orders, input.fence());
    judgeGroups(input, nodes, now);
    advanceDissolutions(nodes, sink, now);
    advanceAttempts(nodes, sink, now);
    form(input, nodes, now);
    advanceAttempts(nodes, sink, now);
    stage(input, nodes, sink, now);
    return orders;
  }

  /**
   * Lines on what was decided since the last call.
   *
   * @return the lines, oldest first
   */
  public List<String> drainRemarks() {
    List<String> drained = List.copyOf(remarks);
    remarks.clear();
    return drained;
  }

  /**
   * Groups whose heads were told to open and are not yet listed as open, or are.
   *
   * @param now the steady time, in nanoseconds
   * @param formNanos time from the order to the first request, in nanoseconds
   * @return heads by group
   */
  public Map<GroupKey, Node> opened(long now, long formNanos) {
    Map<GroupKey, Node> opened = new LinkedHashMap<>();
    for (Attempt attempt : attempts.values()) {
      Node head = known.get(attempt.head());
      if (attempt.openedNanos >= 0 && now - attempt.openedNanos >= formNanos && head != null) {
        opened.put(attempt.key, head);
      }
    }
    return opened;
  }

  /**
   * Groups that are being taken apart.
   *
   * @return their identities
   */
  public Set<GroupKey> dissolving() {
    return Set.copyOf(dissolutions.keySet());
  }

  private void judgeGroups(Input input, Map<String, Node> nodes, long now) {
    dissolutions
        .values()
        .removeIf(dissolution -> dissolution.freeAtNanos <= now && vanished(dissolution));
    for (GroupSeen group : groups.values()) {
      if (dissolutions.containsKey(group.key()) || attempts.containsKey(group.key())) {
        continue;
      }
      ModelSpec model = modelOf(group, input.engine());
      Node head = group.head();
      boolean complete = model != null && head != null && group.complete(model.size());
      boolean stalled = head != null && input.stalledHeads().contains(head.id());
      if (!complete || stalled || model == null || head == null) {
        boolean leaving =
            !stalled && head != null && group.members().stream().anyMatch(Node::draining);
        dissolve(
            group.key(),
            head == null ? null : head.id(),
            ids(group.members()),
            leaving,
            now,
            stalled ? "its head stands still" : "a member is missing, leaving or broken");
      } else if (!isServing(head)) {
        adopt(group, model, now);
      }
    }
    for (Attempt attempt : List.copyOf(attempts.values())) {
      judgeAttempt(attempt, nodes, input.stalledHeads(), now);
    }
  }

  private boolean vanished(Dissolution dissolution) {
    GroupSeen seen = groups.get(dissolution.key);
    return seen == null || seen.members().isEmpty();
  }

  private void judgeAttempt(
      Attempt attempt, Map<String, Node> nodes, Set<String> stalledHeads, long now) {
    String head = attempt.head();
    Node headNode = nodes.get(head);
    boolean listedOpen = headNode != null && matches(headNode, attempt.key) && isServing(headNode);
    if (listedOpen) {
      attempts.remove(attempt.key);
      remarks.add("group=" + attempt.key.name() + " serves model=" + attempt.model.name());
      return;
    }
    String fault = null;
    for (String member : attempt.members) {
      Node node = nodes.get(member);
      if (node == null || node.draining()) {
        fault = "member " + member + " is gone or leaving";
      }
    }
    if (fault == null && now > attempt.giveUpNanos) {
      fault = "it was not ready in time";
    }
    if (fault == null && stalledHeads.contains(head)) {
      fault = "its head stands still";
    }
    if (fault != null) {
      attempts.remove(attempt.key);
      dissolve(attempt.key, head, attempt.members, false, now, fault);
    }
  }

  private void adopt(GroupSeen group, ModelSpec model, long now) {
    List<String> members = new ArrayList<>();
    group.members().stream()
        .sorted((a, b) -> Integer.compare(rank(a), rank(b)))
        .forEach(node -> members.add(node.id()));
    long patience = (model.loadMillis() * MILLI) + ATTEMPT_SLACK_NANOS;
    Attempt attempt = new Attempt(group.key(), model, members, now, now + patience);
    attempt.joined.addAll(members);
    attempts.put(group.key(), attempt);
    remarks.add("group=" + group.key().name() + " adopted members=" + members);
  }

  private void dissolve(
      GroupKey key,
      @Nullable String head,
      List<String> members,
      boolean graceful,
      long now,
      String reason) {
    dissolutions.put(key, new Dissolution(key, head, members, graceful, now));
    remarks.add(
        "group="
            + key.name()
            + " epoch="
            + key.epoch()
            + " dissolved head="
            + head
            + " reason="
            + reason);
  }

  private void advanceDissolutions(Map<String, Node> nodes, Orders sink, long now) {
    for (Dissolution dissolution : dissolutions.values()) {
      if (dissolution.freeAtNanos != Long.MAX_VALUE) {
        leaveQuietly(dissolution, nodes, sink, now);
        continue;
      }
      Node head = dissolution.head == null ? null : known.get(dissolution.head);
      if (head == null || dissolution.headSilent) {
        breakByLeaving(dissolution, sink, now);
        if (head == null) {
          continue;
        }
      }
      if (log.busy(head.id())) {
        continue;
      }
      if (dissolution.graceful && now - dissolution.sinceNanos < GRACE_NANOS) {
        closeFirst(dissolution, head, sink);
      } else {
        sink.add(head, GroupOrder.Kind.LEAVE, dissolution.key);
      }
    }
  }

  private void closeFirst(Dissolution dissolution, Node head, Orders sink) {
    if (!dissolution.closed) {
      dissolution.closed = true;
      sink.add(head, GroupOrder.Kind.CLOSE, dissolution.key);
      return;
    }
    Membership place = head.membership();
    if (place == null || place.state() == MemberState.READY) {
      sink.add(head, GroupOrder.Kind.LEAVE, dissolution.key);
    }
  }

  /** Members that can't be told apart from serving ones for the dead head leave one by one. */
  private void breakByLeaving(Dissolution dissolution, Orders sink, long now) {
    for (String member : dissolution.members) {
      Node node = known.get(member);
      boolean skip =
          node == null || member.equals(dissolution.head) || dissolution.left.contains(member);
      if (!skip && !log.busy(member) && !log.isSilent(member, now)) {
        sink.add(node, GroupOrder.Kind.LEAVE, dissolution.key);
      }
    }
  }

  private void leaveQuietly(
      Dissolution dissolution, Map<String, Node> nodes, Orders sink, long now) {
    Node head = dissolution.head == null ? null : nodes.get(dissolution.head);
    if (head != null
        && dissolution.headSilent
        && !log.busy(head.id())
        && !log.isSilent(head.id(), now)
        && matches(head, dissolution.key)) {
      sink.add(head, GroupOrder.Kind.LEAVE, dissolution.key);
    }
  }

  private void advanceAttempts(Map<String, Node> nodes, Orders sink, long now) {
    for (Attempt attempt : attempts.values()) {
      for (String member : attempt.members) {
        Node node = nodes.get(member);
        if (node != null && !log.busy(member)) {
          advanceMember(attempt, node, sink, now);
        }
      }
      Node head = nodes.get(attempt.head());
      boolean allReady = attempt.ready.size() == attempt.members.size();
      if (allReady && attempt.openedNanos < 0 && head != null && !log.busy(head.id())) {
        attempt.openSent = true;
        sink.add(head, GroupOrder.Kind.OPEN, attempt.key);
      }
    }
  }

  private void advanceMember(Attempt attempt, Node node, Orders sink, long now) {
    String id = node.id();
    if (!attempt.joined.contains(id)) {
      if (log.orders(id) == OrderLog.UNKNOWN) {
        reportAgain(node, sink, now);
      } else {
        sink.join(node, attempt, log.orders(id));
      }
      return;
    }
    if (attempt.ready.contains(id)) {
      return;
    }
    Membership place = node.membership();
    if (place != null && matches(node, attempt.key) && isReady(place.state())) {
      attempt.ready.add(id);
    } else if (now > attempt.expectedReadyNanos) {
      reportAgain(node, sink, now);
    }
  }

  private void reportAgain(Node node, Orders sink, long now) {
    boolean due = now - log.lastReport(node.id()) > REPORT_EVERY_NANOS;
    if (due && !log.isSilent(node.id(), now - REPORT_EVERY_NANOS)) {
      sink.add(node, GroupOrder.Kind.REPORT, new GroupKey("", 0));
    }
  }

  private void form(Input input, Map<String, Node> nodes, long now) {
    Map<String, List<Node>> freeByDomain = free(nodes, now);
    Map<String, Integer> standing = standing(input.engine());
    for (List<Node> free : freeByDomain.values()) {
      boolean formed = true;
      while (formed) {
        FormationPolicy.Proposal proposal = FormationPolicy.propose(free, input.engine(), standing);
        formed =
            proposal != null
                && limiter.take(proposal.loads(), input.engine().loadsPerSecond(), now);
        if (formed && proposal != null) {
          begin(proposal, now);
          standing.merge(proposal.model().name(), 1, Integer::sum);
          free.removeAll(proposal.members());
        }
      }
    }
  }

  private void begin(FormationPolicy.Proposal proposal, long now) {
    highestEpoch++;
    GroupKey key = new GroupKey(namePrefix + nextName, highestEpoch);
    nextName++;
    long ready = now + proposal.readyMillis() * MILLI;
    long giveUp = ready + proposal.readyMillis() * MILLI + ATTEMPT_SLACK_NANOS;
    List<String> members = ids(proposal.members());
    attempts.put(key, new Attempt(key, proposal.model(), members, ready, giveUp));
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
    Set<String> taken = new HashSet<>();
    attempts.values().forEach(attempt -> taken.addAll(attempt.members));
    for (GroupSeen group : groups.values()) {
      Dissolution dissolution = dissolutions.get(group.key());
      if (dissolution == null || dissolution.freeAtNanos > now) {
        taken.addAll(ids(group.members()));
      }
    }
    for (Dissolution dissolution : dissolutions.values()) {
      if (dissolution.freeAtNanos > now) {
        taken.addAll(dissolution.members);
      }
    }
    Map<String, List<Node>> free = new LinkedHashMap<>();
    nodes.values().stream()
        .filter(node -> !node.draining() && !taken.contains(node.id()))
        .filter(node -> !log.isSilent(node.id(), now))
        .sorted((a, b) -> a.id().compareTo(b.id()))
        .forEach(
            node -> free.computeIfAbsent(node.domain(), domain -> new ArrayList<>()).add(node));
    return free;
  }

  private Map<String, Integer> standing(EngineSpec engine) {
    Map<String, Integer> standing = new HashMap<>();
    for (GroupSeen group : groups.values()) {
      ModelSpec model = modelOf(group, engine);
      boolean counted =
          model != null
              && !dissolutions.containsKey(group.key())
              && !attempts.containsKey(group.key());
      if (counted) {
        standing.merge(model.name(), 1, Integer::sum);
      }
    }
    attempts.values().forEach(attempt -> standing.merge(attempt.model.name(), 1, Integer::sum));
    return standing;
  }

  private void stage(Input input, Map<String, Node> nodes, Orders sink, long now) {
    staging.values().removeIf(until -> until < now);
    for (List<Node> free : free(nodes, now).values()) {
      Map<String, Integer> held = FormationPolicy.held(free);
      for (Node node : free) {
        ModelSpec model = FormationPolicy.modelToStage(input.engine(), held);
        boolean wanted = node.staged().isEmpty() && node.model() == null;
        boolean possible = wanted && !staging.containsKey(node.id()) && !log.busy(node.id());
        if (possible && limiter.take(1, input.engine().loadsPerSecond(), now)) {
          held.merge(model.name(), 1, Integer::sum);
          staging.put(node.id(), now + 2L * model.loadMillis() * MILLI);
          sink.stage(node, model.name());
          remarks.add("node=" + node.id() + " stages model=" + model.name());
        }
      }
    }
  }

  /**
   * Takes the outcome of an order in.
   *
   * @param order the order
   * @param outcome its outcome
   * @param now the steady time, in nanoseconds
   */
  public void outcome(GroupOrder order, GroupOrder.Outcome outcome, long now) {
    String id = order.node().id();
    switch (outcome) {
      case BEGUN -> log.answered(id, true);
      case DONE -> log.answered(id, false);
      case UNKNOWN -> log.silent(id, now);
      default -> log.doubt(id);
    }
    GroupKey key = new GroupKey(order.group(), order.epoch());
    boolean holds = outcome == GroupOrder.Outcome.BEGUN || outcome == GroupOrder.Outcome.DONE;
    Attempt attempt = attempts.get(key);
    if (attempt != null) {
      attemptOutcome(attempt, order, outcome, holds, now);
    }
    Dissolution dissolution = dissolutions.get(key);
    if (dissolution != null && order.kind() == GroupOrder.Kind.LEAVE) {
      leaveOutcome(dissolution, id, outcome, now);
    }
    if (outcome != GroupOrder.Outcome.BEGUN && outcome != GroupOrder.Outcome.DONE) {
      remarks.add(
          "node="
              + id
              + " order="
              + order.kind()
              + " group="
              + order.group()
              + " outcome="
              + outcome);
    }
  }

  private void attemptOutcome(
      Attempt attempt, GroupOrder order, GroupOrder.Outcome outcome, boolean holds, long now) {
    if (order.kind() == GroupOrder.Kind.JOIN && holds) {
      attempt.joined.add(order.node().id());
    }
    if (order.kind() == GroupOrder.Kind.OPEN && holds && attempt.openedNanos < 0) {
      attempt.openedNanos = now;
    }
    boolean lost = outcome == GroupOrder.Outcome.GONE || outcome == GroupOrder.Outcome.OTHER_NODE;
    if (lost) {
      attempts.remove(attempt.key);
      dissolve(attempt.key, attempt.head(), attempt.members, false, now, "a member is gone");
    }
  }

  private void leaveOutcome(
      Dissolution dissolution, String id, GroupOrder.Outcome outcome, long now) {
    boolean byHead = id.equals(dissolution.head);
    switch (outcome) {
      case BEGUN, DONE, CONFLICT -> {
        dissolution.left.add(id);
        free(dissolution, byHead ? now : now + stallNanos + BREAK_MARGIN_NANOS);
      }
      case GONE, OTHER_NODE -> {
        dissolution.left.add(id);
        if (byHead) {
          free(dissolution, now + GONE_NANOS);
        }
      }
      case UNKNOWN -> dissolution.headSilent |= byHead;
      default -> {
        // A higher fence was seen: the caller steps back and this planner is dropped.
      }
    }
  }

  private static void free(Dissolution dissolution, long atNanos) {
    dissolution.freeAtNanos = Math.min(dissolution.freeAtNanos, atNanos);
  }

  /**
   * Takes a node's report in.
   *
   * @param node the node
   * @param report its report; null when none came
   * @param now the steady time, in nanoseconds
   */
  public void report(Node node, @Nullable NodeReport report, long now) {
    if (report == null) {
      log.silent(node.id(), now);
      return;
    }
    log.reported(node.id(), report.orders(), now);
    Membership place = report.membership();
    for (Attempt attempt : attempts.values()) {
      boolean member = attempt.members.contains(node.id());
      if (member
          && place != null
          && place.group().equals(attempt.key.name())
          && place.epoch() == attempt.key.epoch()) {
        attempt.joined.add(node.id());
        if (isReady(place.state())) {
          attempt.ready.add(node.id());
        }
      }
    }
  }

  private static @Nullable ModelSpec modelOf(GroupSeen group, EngineSpec engine) {
    for (Node node : group.members()) {
      String model = node.model();
      if (model != null) {
        return engine.model(model);
      }
    }
    return null;
  }

  private static boolean isServing(Node head) {
    Membership place = head.membership();
    return place != null
        && (place.state() == MemberState.OPEN || place.state() == MemberState.CLOSING);
  }

  private static boolean isReady(MemberState state) {
    return state == MemberState.READY || state == MemberState.OPEN;
  }

  private static boolean matches(Node node, GroupKey key) {
    Membership place = node.membership();
    return place != null && place.group().equals(key.name()) && place.epoch() == key.epoch();
  }

  private static int rank(Node node) {
    Membership place = node.membership();
    return place == null ? Integer.MAX_VALUE : place.rank();
  }

  private static List<String> ids(Collection<Node> nodes) {
    return nodes.stream().map(Node::id).toList();
  }

  /** Collects the orders of one plan and marks their nodes as busy. */
  private final class Orders {
    private final List<GroupOrder> orders;
    private final long fence;

    Orders(List<GroupOrder> orders, long fence) {
      this.orders = orders;
      this.fence = fence;
    }

    void add(Node node, GroupOrder.Kind kind, GroupKey key) {
      push(new GroupOrder(node, kind, key.name(), key.epoch(), null, List.of(), fence, -1));
    }

    void join(Node node, Attempt attempt, long expected) {
      GroupKey key = attempt.key;
      push(
          new GroupOrder(
              node,
              GroupOrder.Kind.JOIN,
              key.name(),
              key.epoch(),
              attempt.model.name(),
              attempt.members,
              fence,
              expected));
    }

    void stage(Node node, String model) {
      push(new GroupOrder(node, GroupOrder.Kind.STAGE, "", 0, model, List.of(), fence, -1));
    }

    private void push(GroupOrder order) {
      log.sending(order.node().id());
      orders.add(order);
    }
  }
}
