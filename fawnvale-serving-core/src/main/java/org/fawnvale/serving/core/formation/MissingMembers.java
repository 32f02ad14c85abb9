package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tolerates for a while that members of a group are not listed. An entry is missing when its node
 * has died; stalled streams reveal that sooner. An entry is also missing when the store or only the
 * node's connection to it has failed; then the group keeps serving.
 */
final class MissingMembers {

  private static final long MILLI = 1_000_000L;

  /**
   * How long a head may be missing. Entries reappear within about two seconds of a store outage's
   * end.
   */
  private static final long HEAD_NANOS = 2_500 * MILLI;

  /** How long another member may be missing while the group is not known to be stalled. */
  private static final long MEMBER_NANOS = 5_000 * MILLI;

  private final Map<GroupKey, Long> since = new HashMap<>();
  private final Set<GroupKey> lost = new HashSet<>();

  void retain(Map<GroupKey, ObservedGroup> groups) {
    since.keySet().retainAll(groups.keySet());
    lost.retainAll(groups.keySet());
  }

  /** Records that all members of a group are listed. */
  void markComplete(GroupKey key) {
    since.remove(key);
  }

  /**
   * Records that a member has restarted. Its former incarnation can't come back, whatever the list
   * shows.
   */
  void markLost(GroupKey key) {
    lost.add(key);
  }

  /** Tells whether members of a group have been missing for too long. */
  boolean hasTimedOut(ObservedGroup group, long now) {
    long missing = now - since.computeIfAbsent(group.key(), key -> now);
    return lost.contains(group.key())
        || missing > (group.head() == null ? HEAD_NANOS : MEMBER_NANOS);
  }
}
