package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.NodePaces;

/**
 * Tells slow groups from stalled ones by the reports of their members. A group that has just turned
 * slow pauses for longer than its published times allow, so its head is suspected of a stall before
 * its pace is known.
 */
final class StallCheck {

  private static final long MILLI = 1_000_000L;

  /** Reports from this long before the stall was confirmed count. */
  private static final long EARLIER_REPORTS_NANOS = 300 * MILLI;

  /** How long reports are awaited; requests for them time out after 200 ms. */
  private static final long MAX_WAIT_NANOS = 400 * MILLI;

  /**
   * How long a group without any event may count as slow. A pass of a full group at a twelfth of
   * its speed takes about 0.6 s, and with prefill seldom more than two.
   */
  private static final long MAX_SLOW_NANOS = 2_000 * MILLI;

  /** A suspicion that was gone for less than this is the same one. */
  private static final long SAME_SUSPICION_NANOS = 300 * MILLI;

  private final NodePaces paces;
  private final Map<String, Suspicion> suspicions = new HashMap<>();

  private record Suspicion(long sinceNanos, long lastNanos) {}

  StallCheck(NodePaces paces) {
    this.paces = paces;
  }

  /**
   * Returns the heads that have stalled.
   *
   * @param confirmed heads that the daemons' observations confirm as stalled, as {@code ID@EPOCH}
   * @param groups the listed groups
   * @param now the monotonic time, in nanoseconds
   * @return the confirmed heads without those whose members have just reported to be slow or are
   *     still being asked
   */
  Set<String> stalled(Set<String> confirmed, Map<GroupKey, ObservedGroup> groups, long now) {
    suspicions.values().removeIf(past -> now - past.lastNanos() > SAME_SUSPICION_NANOS);
    if (confirmed.isEmpty()) {
      return confirmed;
    }
    Set<String> stalled = new HashSet<>(confirmed);
    for (ObservedGroup group : groups.values()) {
      String head = group.key().headAtEpoch();
      if (confirmed.contains(head)) {
        Suspicion past = suspicions.get(head);
        long since = past == null ? now : past.sinceNanos();
        suspicions.put(head, new Suspicion(since, now));
        if (mayBeSlow(group, since, now)) {
          stalled.remove(head);
        }
      }
    }
    return stalled;
  }

  private boolean mayBeSlow(ObservedGroup group, long since, long now) {
    boolean slow = false;
    boolean pending = false;
    for (Node node : group.members()) {
      NodePaces.Finding finding = paces.finding(node, since - EARLIER_REPORTS_NANOS);
      if (finding == NodePaces.Finding.NO_ANSWER) {
        return false;
      }
      slow |= finding == NodePaces.Finding.SLOW;
      pending |= finding == NodePaces.Finding.PENDING;
    }
    return pending ? now - since < MAX_WAIT_NANOS : slow && now - since < MAX_SLOW_NANOS;
  }
}
