package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.Map;

/** Since when groups have a member that leaves. */
final class DrainingMembers {

  /**
   * How long a group may serve with a member that leaves. A member serves on for two seconds and
   * more after it has said that it leaves, and the list lags by up to one.
   */
  private static final long PATIENCE_NANOS = 1_500_000_000L;

  private final Map<GroupKey, Long> since = new HashMap<>();

  void retain(Map<GroupKey, ObservedGroup> groups) {
    since.keySet().retainAll(groups.keySet());
  }

  /** Tells whether a group has had a member that leaves for as long as it may. */
  boolean hasWaited(GroupKey key, long now) {
    return now - since.computeIfAbsent(key, group -> now) >= PATIENCE_NANOS;
  }
}
