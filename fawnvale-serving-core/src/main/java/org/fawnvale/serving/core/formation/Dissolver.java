package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Dissolves groups. The members of a group are free once its head has left it, once the head's
 * process has ended, or once other members left so long ago that the head is certainly broken.
 */
final class Dissolver {

  private static final long MILLI = 1_000_000L;
  private static final long BREAK_MARGIN_NANOS = 400 * MILLI;
  private static final long DRAIN_TIMEOUT_NANOS = 3_000 * MILLI;

  /** How often a closing head is asked whether it has finished its requests. */
  private static final long DRAIN_POLL_NANOS = 200 * MILLI;

  /** How old a report may be when it arrives. The engines update their reports every 200 ms. */
  private static final long REPORT_LAG_NANOS = 300 * MILLI;

  private static final long STABLE_LISTING_NANOS = 2_000 * MILLI;
  private static final int MAX_RELEASED = 1_000;

  private final OrderTracker tracker;
  private final long stallNanos;
  private final Map<GroupKey, Dissolution> dissolutions = new LinkedHashMap<>();
  private final Map<String, Node> lastSeen = new LinkedHashMap<>();
  private final Map<String, Long> listedSince = new HashMap<>();
  private Map<String, Node> listed = Map.of();
  private final Set<GroupKey> released = new LinkedHashSet<>();

  Dissolver(OrderTracker tracker, long stallNanos) {
    this.tracker = tracker;
    this.stallNanos = stallNanos;
  }

  ReleaseEvidence evidence(GroupKey key, long now) {
    Dissolution dissolution = dissolutions.get(key);
    if (dissolution == null) {
      return released.contains(key) ? ReleaseEvidence.RELEASED_BEFORE : ReleaseEvidence.NONE;
    }
    if (dissolution.headLeft) {
      return ReleaseEvidence.HEAD_LEFT;
    }
    return isReleased(dissolution, now) ? ReleaseEvidence.HEAD_BROKEN : ReleaseEvidence.NONE;
  }

  boolean handles(GroupKey key) {
    return dissolutions.containsKey(key) || released.contains(key);
  }

  void observe(Map<String, Node> nodes, long now) {
    lastSeen.putAll(nodes);
    listed = nodes;
    listedSince.keySet().retainAll(nodes.keySet());
    nodes.keySet().forEach(id -> listedSince.putIfAbsent(id, now));
  }

  /**
   * Tells whether the head certainly serves no longer. An idle head doesn't notice that members
   * left, so elapsed time is no proof while the list still shows the head as serving. When entries
   * of members have just reappeared, the head's entry may still be about to reappear.
   */
  private boolean isReleased(Dissolution dissolution, long now) {
    if (dissolution.headLeft || dissolution.brokenAtNanos > now) {
      return dissolution.headLeft;
    }
    Node head = dissolution.head == null ? null : listed.get(dissolution.head);
    if (head != null) {
      return hasLeft(head, dissolution.key) || isBroken(head, dissolution.key);
    }
    for (String member : dissolution.members) {
      Long since = listedSince.get(member);
      if (since != null && now - since < STABLE_LISTING_NANOS) {
        return false;
      }
    }
    return true;
  }

  /** Only BROKEN is conclusive: in any other listed state, the head may have opened since. */
  private static boolean isBroken(Node head, GroupKey key) {
    Membership membership = head.membership();
    return membership != null
        && key.matches(membership)
        && membership.state() == MemberState.BROKEN;
  }

  void begin(GroupKey key, List<String> members, Dissolution.Manner manner, long now) {
    String head = key.head();
    Dissolution dissolution = new Dissolution(key, head, members, manner, now);
    dissolutions.put(key, dissolution);
  }

  /**
   * Removes dissolutions whose group is no longer listed, and remembers that these groups are
   * released.
   */
  void removeCompleted(Map<GroupKey, ObservedGroup> groups, long now) {
    // A delayed join or another leader may have formed the group again.
    released.removeIf(groups::containsKey);
    for (Dissolution dissolution : List.copyOf(dissolutions.values())) {
      boolean completed = isReleased(dissolution, now) && !groups.containsKey(dissolution.key);
      if (completed) {
        dissolutions.remove(dissolution.key);
        released.add(dissolution.key);
      }
    }
    while (released.size() > MAX_RELEASED) {
      released.remove(released.iterator().next());
    }
  }

  /** Marks the head as having left in all groups whose head restarted. */
  void nodeRestarted(String id, long now) {
    for (Dissolution dissolution : dissolutions.values()) {
      if (id.equals(dissolution.head)) {
        dissolution.headLeft(now);
      }
    }
  }

  /** The members that may still belong to a serving head. */
  Set<String> occupiedNodes(long now) {
    Set<String> occupiedNodes = new HashSet<>();
    for (Dissolution dissolution : dissolutions.values()) {
      if (!isReleased(dissolution, now)) {
        occupiedNodes.addAll(dissolution.members);
      }
    }
    return occupiedNodes;
  }

  /** The number of groups whose members are not free yet. */
  int pendingCount(long now) {
    int pendingCount = 0;
    for (Dissolution dissolution : dissolutions.values()) {
      pendingCount += isReleased(dissolution, now) ? 0 : 1;
    }
    return pendingCount;
  }

  boolean isFree(GroupKey key, long now) {
    Dissolution dissolution = dissolutions.get(key);
    return released.contains(key) || dissolution != null && isReleased(dissolution, now);
  }

  /**
   * Tells whether the head doesn't answer, so that the dissolution has to wait until it is broken.
   */
  boolean isHeadUnresponsive(GroupKey key) {
    Dissolution dissolution = dissolutions.get(key);
    return dissolution != null && dissolution.headUnresponsive && !dissolution.headLeft;
  }

  void advance(Map<String, Node> nodes, OrderSink sink, long now) {
    for (Dissolution dissolution : dissolutions.values()) {
      if (!dissolution.headLeft) {
        advance(dissolution, nodes, sink, now);
      }
    }
  }

  private void advance(Dissolution dissolution, Map<String, Node> nodes, OrderSink sink, long now) {
    Node head = dissolution.head == null ? null : lastSeen.get(dissolution.head);
    Node entry = dissolution.head == null ? null : nodes.get(dissolution.head);
    if (entry != null && hasLeft(entry, dissolution.key)) {
      dissolution.headLeft(now);
      return;
    }
    if (head == null || dissolution.headUnresponsive) {
      removeOtherMembers(dissolution, sink, now);
    }
    boolean backingOff =
        dissolution.headUnresponsive && head != null && tracker.isUnresponsive(head.id(), now);
    if (head == null || backingOff || tracker.isBusy(head.id())) {
      return;
    }
    closeOrLeave(dissolution, head, serves((entry == null ? head : entry).membership()), sink, now);
  }

  private void closeOrLeave(
      Dissolution dissolution, Node head, boolean serves, OrderSink sink, long now) {
    boolean closeFirst =
        dissolution.manner == Dissolution.Manner.GRACEFUL
            && now - dissolution.sinceNanos < DRAIN_TIMEOUT_NANOS
            && serves
            && !dissolution.drained;
    if (!closeFirst) {
      sink.leave(head, dissolution.key);
    } else if (!dissolution.closed) {
      dissolution.closed = true;
      sink.add(head, GroupOrder.Kind.CLOSE, dissolution.key);
    } else if (now - tracker.lastReportNanos(head.id()) > DRAIN_POLL_NANOS) {
      sink.report(head);
    }
  }

  /**
   * Processes the report of a node. The report takes precedence over the list and over earlier
   * answers: a head that accepted a leave may have joined the group since, on another leader's
   * order. Reports received within {@link #REPORT_LAG_NANOS} after a leave may predate it and are
   * not taken as a return.
   */
  void report(String id, @Nullable Membership membership, long now) {
    released.removeIf(key -> id.equals(key.head()) && key.matches(membership));
    for (Dissolution dissolution : dissolutions.values()) {
      if (id.equals(dissolution.head)) {
        boolean isMember = dissolution.key.matches(membership);
        dissolution.headLeft &= !isMember || now - dissolution.headLeftAtNanos < REPORT_LAG_NANOS;
        dissolution.drained |= dissolution.closed && !(isMember && serves(membership));
      }
    }
  }

  private static boolean hasLeft(Node head, GroupKey key) {
    Membership membership = head.membership();
    return membership != null && membership.epoch() > key.epoch();
  }

  private static boolean serves(@Nullable Membership membership) {
    return membership != null
        && (membership.state() == MemberState.OPEN || membership.state() == MemberState.CLOSING);
  }

  /** Orders the other members to leave, so that a head that doesn't answer becomes broken. */
  private void removeOtherMembers(Dissolution dissolution, OrderSink sink, long now) {
    for (String member : dissolution.members) {
      Node node = lastSeen.get(member);
      boolean skip =
          node == null
              || member.equals(dissolution.head)
              || dissolution.leftMembers.contains(member);
      if (!skip && !tracker.isBusy(member) && !tracker.isUnresponsive(member, now)) {
        sink.leave(node, dissolution.key);
      }
    }
  }

  void outcome(GroupOrder order, GroupOrder.Outcome outcome, long now) {
    Dissolution dissolution = dissolutions.get(new GroupKey(order.group(), order.epoch()));
    if (dissolution == null || order.kind() != GroupOrder.Kind.LEAVE) {
      return;
    }
    String id = order.node().id();
    switch (outcome) {
      case BEGUN, DONE -> memberLeft(dissolution, id, now);
      case CONFLICT -> {
        // The node may have refused a leave only because the expected count of orders was wrong.
        if (order.expectedOrders() == OrderTracker.UNKNOWN) {
          memberLeft(dissolution, id, now);
        }
      }
      // Another incarnation or node answers at the address, so the addressed one has ended.
      case OTHER_NODE -> recordLeft(dissolution, id, now);
      // A refused connection proves nothing: a network partition may reset connections as well.
      case GONE, UNKNOWN -> dissolution.headUnresponsive |= id.equals(dissolution.head);
      default -> {
        // FENCED: the caller steps down and drops this planner. HELD: the order is due again
        // later.
      }
    }
  }

  private void memberLeft(Dissolution dissolution, String id, long now) {
    recordLeft(dissolution, id, now);
    long brokenAt = now + stallNanos + BREAK_MARGIN_NANOS;
    dissolution.brokenAtNanos = Math.min(dissolution.brokenAtNanos, brokenAt);
  }

  private static void recordLeft(Dissolution dissolution, String id, long now) {
    dissolution.leftMembers.add(id);
    if (id.equals(dissolution.head)) {
      dissolution.headLeft(now);
    }
  }
}
