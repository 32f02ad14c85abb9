package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bears with groups of which an entry has vanished. An entry vanishes when its node dies, which
 * streams show sooner; but also when the node only lost the store, or the store was away, and then
 * the group serves on.
 */
final class MissingMembers {

  private static final long MILLI = 1_000_000L;

  /**
   * How long a head may be missing: entries are back within about two seconds after the store was
   * away.
   */
  private static final long HEAD_NANOS = 2_500 * MILLI;

  /** How long another member may be missing while the group is not seen to stand still. */
  private static final long MEMBER_NANOS = 5_000 * MILLI;

  private final Map<GroupKey, Long> since = new HashMap<>();
  private final Set<GroupKey> lost = new HashSet<>();

  void retain(Map<GroupKey, ObservedGroup> groups) {
    since.keySet().retainAll(groups.keySet());
    lost.retainAll(groups.keySet());
  }

  /** Notes that a group is whole. */
  void markComplete(GroupKey key) {
    since.remove(key);
  }

  /**
   * Notes that a member has begun a new life: it does not come back, however soon its entry does.
   */
  void markLost(GroupKey key) {
    lost.add(key);
  }

  /** Tells whether entries of a group have been missing for too long. */
  boolean hasTimedOut(ObservedGroup group, long now) {
    long missing = now - since.computeIfAbsent(group.key(), key -> now);
    return lost.contains(group.key())
        || missing > (group.head() == null ? HEAD_NANOS : MEMBER_NANOS);
  }
}
