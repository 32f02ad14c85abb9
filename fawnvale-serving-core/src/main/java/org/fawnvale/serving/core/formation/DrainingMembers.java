package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.Map;

/** Tracks since when groups have had a draining member. */
final class DrainingMembers {

  /**
   * How long a group may serve with a draining member. A member keeps serving for at least two
   * seconds after it has started to drain, and the list lags by up to one.
   */
  private static final long TIMEOUT_NANOS = 1_500_000_000L;

  private final Map<GroupKey, Long> sinceNanos = new HashMap<>();

  void retain(Map<GroupKey, ObservedGroup> groups) {
    sinceNanos.keySet().retainAll(groups.keySet());
  }

  /** Tells whether the time that the group may serve with a draining member is over. */
  boolean hasTimedOut(GroupKey key, long now) {
    return now - sinceNanos.computeIfAbsent(key, group -> now) >= TIMEOUT_NANOS;
  }
}
