package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Forms groups: orders all members to join, waits until all are observed ready under the group's
 * name and epoch, then orders the head to open.
 *
 * <p>Only the answer to an order shows that a node has joined, since the order names its node. A
 * report does not name the node that sends it: another process may have taken the address of one
 * that ended, and an order that was not answered with it. So an order to join that is not answered
 * is given again. A report that says 'ready' counts once the order is given again after it and the
 * node answers that it has joined already.
 */
final class Assembler {

  private static final long MILLI = 1_000_000L;
  private static final long ATTEMPT_MARGIN_NANOS = 2_500 * MILLI;

  /**
   * How long after the expected time a member is asked for a report. The list normally shows a
   * ready member within 120 ms; a report, which costs as much as a probe, is the fallback.
   */
  private static final long REPORT_AFTER_NANOS = 300 * MILLI;

  private static final long REPORT_INTERVAL_NANOS = 800 * MILLI;

  /**
   * Members of an adopted group are asked at once and more often, since the list doesn't suffice
   * for them.
   */
  private static final long ADOPTED_REPORT_INTERVAL_NANOS = 250 * MILLI;

  private static final long OPEN_RETRY_NANOS = 200 * MILLI;

  private final OrderTracker tracker;
  private final Map<GroupKey, FormationAttempt> attempts = new LinkedHashMap<>();
  private final Map<GroupKey, Long> openSent = new LinkedHashMap<>();
  private final Predicate<GroupKey> released;

  /**
   * Creates an assembler.
   *
   * @param tracker the state of the nodes' orders
   * @param released tells whether the members of a group may join another one
   */
  Assembler(OrderTracker tracker, Predicate<GroupKey> released) {
    this.tracker = tracker;
    this.released = released;
  }

  /** A failed attempt and the reason, as it is logged. */
  record Failed(FormationAttempt attempt, String reason) {}

  boolean handles(GroupKey key) {
    return attempts.containsKey(key);
  }

  Collection<FormationAttempt> attempts() {
    return attempts.values();
  }

  Set<String> assignedNodes() {
    Set<String> assignedNodes = new HashSet<>();
    attempts.values().forEach(attempt -> assignedNodes.addAll(attempt.members));
    return assignedNodes;
  }

  int loadsInProgress() {
    int loads = 0;
    for (FormationAttempt attempt : attempts.values()) {
      boolean loading = attempt.openedNanos < 0 && !attempt.allReady();
      loads += loading ? attempt.loads : 0;
    }
    return loads;
  }

  /** Returns the groups being formed whose head satisfies a condition. */
  Set<GroupKey> attemptsAt(Map<String, Node> nodes, Predicate<Node> condition) {
    Set<GroupKey> keys = new HashSet<>();
    for (FormationAttempt attempt : attempts.values()) {
      Node head = nodes.get(attempt.head());
      if (head != null && condition.test(head)) {
        keys.add(attempt.key);
      }
    }
    return keys;
  }

  void begin(GroupKey key, FormationPolicy.Proposal proposal, List<String> members, long now) {
    long ready = now + proposal.readyMillis() * MILLI;
    long deadline = ready + 2 * proposal.readyMillis() * MILLI + ATTEMPT_MARGIN_NANOS;
    attempts.put(
        key,
        new FormationAttempt(key, proposal.model(), members, proposal.loads(), ready, deadline));
  }

  /** Takes over a complete group that a former leader began to form. */
  void adopt(ObservedGroup group, ModelSpec model, long now) {
    List<String> members = new ArrayList<>();
    group.members().stream()
        .sorted((a, b) -> Integer.compare(rank(a), rank(b)))
        .forEach(node -> members.add(node.id()));
    long timeout = 2 * model.loadMillis() * MILLI + ATTEMPT_MARGIN_NANOS;
    FormationAttempt attempt =
        new FormationAttempt(
            group.key(), model, members, 0, now + ADOPTED_REPORT_INTERVAL_NANOS, now + timeout);
    attempt.adopted = true;
    attempt.headOrdered = true;
    attempts.put(group.key(), attempt);
  }

  /** Removes attempts whose head is open, and removes and returns those that can't succeed. */
  List<Failed> endFinished(
      Map<String, Node> nodes, Set<String> stalledHeads, List<String> logLines, long now) {
    List<Failed> failed = new ArrayList<>();
    for (FormationAttempt attempt : List.copyOf(attempts.values())) {
      Node head = nodes.get(attempt.head());
      if (head != null && attempt.key.matches(head.membership()) && isOpen(head)) {
        end(attempt);
        logLines.add("group=" + attempt.key.name() + " serves model=" + attempt.model.name());
        continue;
      }
      String failureReason = failureReason(attempt, nodes, stalledHeads, now);
      if (failureReason != null) {
        end(attempt);
        failed.add(new Failed(attempt, failureReason));
      }
    }
    return failed;
  }

  private void end(FormationAttempt attempt) {
    attempts.remove(attempt.key);
    openSent.remove(attempt.key);
  }

  private @Nullable String failureReason(
      FormationAttempt attempt, Map<String, Node> nodes, Set<String> stalledHeads, long now) {
    for (String member : attempt.members) {
      Node node = nodes.get(member);
      if (node == null || node.draining()) {
        return "member " + member + " is gone or leaving";
      }
      if (tracker.inConflict(member, now)) {
        return "member " + member + " is in a group that may serve";
      }
      if (tracker.failedLivenessCheck(member)) {
        return "member " + member + " gives no answer";
      }
    }
    if (attempt.departedMember != null) {
      return "member " + attempt.departedMember + " has left it";
    }
    if (attempt.openedNanos < 0 && now > attempt.deadlineNanos) {
      return "it was not ready in time";
    }
    return stalledHeads.contains(attempt.key.headAtEpoch()) ? "its head stands still" : null;
  }

  /**
   * Adds the orders that are due.
   *
   * @param mayJoin tells whether a node may join a group; a group whose other members have joined
   *     is not completed without it and fails in time
   */
  void advance(Map<String, Node> nodes, Predicate<Node> mayJoin, OrderSink sink, long now) {
    for (FormationAttempt attempt : attempts.values()) {
      for (String member : attempt.members) {
        Node node = nodes.get(member);
        boolean due = node != null && !tracker.isBusy(member);
        if (due && (attempt.joined.contains(member) || mayJoin.test(node))) {
          advanceMember(attempt, node, sink, now);
        }
      }
      Node head = nodes.get(attempt.head());
      boolean openDue =
          attempt.allReady()
              && attempt.openedNanos < 0
              && now - openSent.getOrDefault(attempt.key, now - OPEN_RETRY_NANOS)
                  >= OPEN_RETRY_NANOS;
      if (openDue && head != null && !tracker.isBusy(head.id())) {
        openSent.put(attempt.key, now);
        sink.add(head, GroupOrder.Kind.OPEN, attempt.key);
      }
    }
  }

  private void advanceMember(FormationAttempt attempt, Node node, OrderSink sink, long now) {
    String id = node.id();
    if (!attempt.joined.contains(id) || attempt.reportedReady.contains(id)) {
      join(attempt, node, sink, now);
    } else if (!attempt.ready.contains(id)) {
      awaitReady(attempt, node, sink, now);
    }
  }

  /** Orders a node to join, or asks for what has to be known before. */
  private void join(FormationAttempt attempt, Node node, OrderSink sink, long now) {
    String id = node.id();
    GroupKey currentGroup = tracker.group(id);
    if (hasNoKnownOrders(node)) {
      attempt.headOrdered |= id.equals(attempt.head());
      sink.join(node, attempt, 0);
    } else if (tracker.orders(id) == OrderTracker.UNKNOWN) {
      sink.report(node);
    } else if (currentGroup == null
        || currentGroup.equals(attempt.key)
        || released.test(currentGroup)) {
      attempt.headOrdered |= id.equals(attempt.head());
      sink.join(node, attempt, tracker.orders(id));
    } else {
      tracker.recordConflict(id, now);
    }
  }

  private void awaitReady(FormationAttempt attempt, Node node, OrderSink sink, long now) {
    Membership membership = node.membership();
    boolean listedReady =
        membership != null && attempt.key.matches(membership) && isReady(membership.state());
    if (listedReady && !attempt.adopted) {
      attempt.ready.add(node.id());
    } else if (reportIsDue(attempt, node.id(), now)) {
      sink.report(node);
    }
  }

  /**
   * Tells whether a node has probably taken no orders: it was never contacted, and its entry shows
   * no trace of an order. Its first join expects an order count of zero, and a node that has taken
   * orders refuses it.
   */
  private boolean hasNoKnownOrders(Node node) {
    boolean bare = node.membership() == null && node.model() == null && node.staged().isEmpty();
    return bare && !tracker.wasContacted(node.id());
  }

  /** Members of adopted groups have to report themselves ready; for others the list is enough. */
  private boolean reportIsDue(FormationAttempt attempt, String id, long now) {
    boolean reportExpected =
        attempt.adopted || now > attempt.expectedReadyNanos + REPORT_AFTER_NANOS;
    long pause = attempt.adopted ? ADOPTED_REPORT_INTERVAL_NANOS : REPORT_INTERVAL_NANOS;
    return reportExpected && now - tracker.lastReportNanos(id) > pause;
  }

  void outcome(GroupOrder order, GroupOrder.Outcome outcome, long now) {
    FormationAttempt attempt = attempts.get(new GroupKey(order.group(), order.epoch()));
    boolean accepted = outcome == GroupOrder.Outcome.BEGUN || outcome == GroupOrder.Outcome.DONE;
    if (attempt == null || !accepted) {
      return;
    }
    if (order.kind() == GroupOrder.Kind.JOIN) {
      joined(attempt, order.node().id(), outcome);
    }
    if (order.kind() == GroupOrder.Kind.OPEN && attempt.openedNanos < 0) {
      attempt.openedNanos = now;
    }
  }

  private static void joined(FormationAttempt attempt, String id, GroupOrder.Outcome outcome) {
    attempt.joined.add(id);
    boolean reported = attempt.reportedReady.remove(id);
    if (reported && outcome == GroupOrder.Outcome.DONE) {
      attempt.ready.add(id);
    }
  }

  /** Marks the node as departed from the groups that its former incarnation had joined. */
  void nodeRestarted(String id) {
    for (FormationAttempt attempt : attempts.values()) {
      if (attempt.joined.contains(id)) {
        attempt.departedMember = id;
      }
    }
  }

  void report(String id, @Nullable Membership membership) {
    for (FormationAttempt attempt : attempts.values()) {
      if (attempt.members.contains(id)) {
        report(attempt, id, membership);
      }
    }
  }

  private static void report(FormationAttempt attempt, String id, @Nullable Membership membership) {
    if (membership != null && attempt.key.matches(membership)) {
      if (isReady(membership.state()) && !attempt.ready.contains(id)) {
        attempt.reportedReady.add(id);
      }
    } else if (attempt.adopted) {
      attempt.departedMember = id;
    }
  }

  private static boolean isOpen(Node head) {
    Membership membership = head.membership();
    return membership != null && membership.state() == MemberState.OPEN;
  }

  private static boolean isReady(MemberState state) {
    return state == MemberState.READY || state == MemberState.OPEN;
  }

  private static int rank(Node node) {
    Membership membership = node.membership();
    return membership == null ? Integer.MAX_VALUE : membership.rank();
  }
}
