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
 * Takes groups apart. The members of a group are free once its head has left it, once the head's
 * process is gone, or once other members left so long ago that the head is surely broken.
 */
final class Dissolver {

  private static final long MILLI = 1_000_000L;
  private static final long BREAK_MARGIN_NANOS = 400 * MILLI;
  private static final long DRAIN_TIMEOUT_NANOS = 3_000 * MILLI;

  /** How often a head that closes is asked whether its work has ended. */
  private static final long DRAIN_POLL_NANOS = 200 * MILLI;

  /** Reports are of some hundred milliseconds earlier; the engines' configuration tells 200. */
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
   * Tells whether the head surely serves no more. After its members left it is broken only once it
   * has work, so that time alone is no proof while the list still shows it as serving; and entries
   * that have just come back may come back before the head's own.
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

  /** Any other state may be an old one: the head may have opened since the list was made. */
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

  /** Forgets dissolutions whose group no entry shows any more, but not that it is released. */
  void forget(Map<GroupKey, ObservedGroup> groups, long now) {
    // Joins that were carried out late, or another leader, may have brought a group back.
    released.removeIf(groups::containsKey);
    for (Dissolution dissolution : List.copyOf(dissolutions.values())) {
      boolean over = isReleased(dissolution, now) && !groups.containsKey(dissolution.key);
      if (over) {
        dissolutions.remove(dissolution.key);
        released.add(dissolution.key);
      }
    }
    while (released.size() > MAX_RELEASED) {
      released.remove(released.iterator().next());
    }
  }

  /** The groups of a head that has begun a new life ended with its former one. */
  void nodeRestarted(String id, long now) {
    for (Dissolution dissolution : dissolutions.values()) {
      if (id.equals(dissolution.head)) {
        dissolution.headLeft(now);
      }
    }
  }

  /** The members that may still belong to a head that serves. */
  Set<String> taken(long now) {
    Set<String> taken = new HashSet<>();
    for (Dissolution dissolution : dissolutions.values()) {
      if (!isReleased(dissolution, now)) {
        taken.addAll(dissolution.members);
      }
    }
    return taken;
  }

  /** The groups whose members are not free yet. */
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

  /** Tells whether the head gives no answer, so that its group is apart only after a long wait. */
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
   * The head's own word is newer than the list's, and than what it said before: a head that was not
   * in the group yet answered that it had left, and may have joined since by another leader's
   * order. A report of a moment after the leave may still be of the time before.
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

  /** A head that gives no answer is broken by the leaving of its members. */
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
        // A leave that named a count may have been refused for the count alone.
        if (order.expectedOrders() == OrderTracker.UNKNOWN) {
          memberLeft(dissolution, id, now);
        }
      }
      // Another life answers at the address, so the one that was meant has ended.
      case OTHER_NODE -> recordLeft(dissolution, id, now);
      // A refused connection proves nothing: a cut may reset connections as well.
      case GONE, UNKNOWN -> dissolution.headUnresponsive |= id.equals(dissolution.head);
      default -> {
        // Fenced: the caller steps back, and this planner is dropped. Held: it is due again later.
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
