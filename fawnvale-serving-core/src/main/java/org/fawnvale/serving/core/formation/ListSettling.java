package org.fawnvale.serving.core.formation;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells when the list of nodes is whole. After a start of the platform nodes are listed one by one,
 * and groups fit better when all are known.
 */
final class ListSettling {

  private static final long MILLI = 1_000_000L;

  /** The list is whole after a pause; nodes were seen to be listed every tenth of a second. */
  private static final long SETTLED_NANOS = 600 * MILLI;

  /** A list that keeps growing is taken as it is after a while. */
  private static final long MAX_WAIT_NANOS = 4_000 * MILLI;

  private final Set<String> seen = new HashSet<>();
  private long firstListedNanos;
  private long lastGrowthNanos;

  void update(Set<String> listed, long now) {
    firstListedNanos = seen.isEmpty() ? now : firstListedNanos;
    if (seen.addAll(listed)) {
      lastGrowthNanos = now;
    }
  }

  boolean isSettled(long now) {
    return now - lastGrowthNanos >= SETTLED_NANOS || now - firstListedNanos >= MAX_WAIT_NANOS;
  }
}
