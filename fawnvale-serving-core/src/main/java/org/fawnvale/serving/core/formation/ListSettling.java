package org.fawnvale.serving.core.formation;

import java.util.HashSet;
import java.util.Set;

/**
 * Detects when the list of nodes is complete. When the platform starts, nodes are listed one by
 * one, and better groups can be formed once all are known.
 */
final class ListSettling {

  private static final long MILLI = 1_000_000L;

  /**
   * The list counts as complete after this time without a new node. At a start, nodes are listed
   * about every 100 ms.
   */
  private static final long SETTLED_NANOS = 600 * MILLI;

  /** A list that keeps growing is used after this time. */
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
