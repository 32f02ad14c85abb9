package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.Map;

/** Since when groups have a member that leaves. */
final class DrainingMembers {

  /**
   * How long a group may serve with a member that leaves. A member serves on for two seconds and
   * more after it has said that it leaves, and the list lags by up to one.
   */
  private static final long TIMEOUT_NANOS = 1_500_000_000L;

  private final Map<GroupKey, Long> sinceNanos = new HashMap<>();

  void retain(Map<GroupKey, ObservedGroup> groups) {
    sinceNanos.keySet().retainAll(groups.keySet());
  }

  /** Tells whether a group has had a member that leaves for as long as it may. */
  boolean hasTimedOut(GroupKey key, long now) {
    return now - sinceNanos.computeIfAbsent(key, group -> now) >= TIMEOUT_NANOS;
  }
}
