package org.fawnvale.serving.store;

import org.fawnvale.serving.core.watch.CopyDelays;

/**
 * When a copy that a peer tells of is fetched: at once from a near peer, later from a far one or by
 * a daemon that watches the store itself, and never more often than notes come. Every daemon hears
 * of each change from all others, so without this each change would be fetched from all of them.
 */
final class CopyPacing {

  /** Not at all: another fetch is under way or due. */
  static final int NEVER = -1;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CopyDelays times;
  private final long pauseNanos;
  private long lastFetchNanos = Long.MIN_VALUE / 2;
  private long nearDueNanos = Long.MIN_VALUE / 2;
  private long laterUntilNanos = Long.MIN_VALUE / 2;

  /**
   * Creates the pacing of one kind of copies.
   *
   * @param times how long to wait between and before fetches
   */
  CopyPacing(CopyDelays times) {
    this.times = times;
    this.pauseNanos = times.minIntervalMillis() * NANOS_PER_MILLI;
  }

  /**
   * Decides on a newer copy that a peer tells of.
   *
   * @param watches whether this daemon watches the store and is answered
   * @param isNear whether the peer is of the same data centre
   * @param now the steady time, in nanoseconds
   * @return milliseconds to wait before the fetch; {@link #NEVER} when there is to be none
   */
  int delayMillis(boolean watches, boolean isNear, long now) {
    long pauseEnds = lastFetchNanos + pauseNanos;
    if (!watches && isNear) {
      return nearDelayMillis(pauseEnds, now);
    }
    if (now < pauseEnds) {
      return NEVER;
    }
    if (now < laterUntilNanos) {
      return NEVER;
    }
    int patience = watches ? times.watcherDelayMillis() : times.remoteDelayMillis();
    laterUntilNanos = now + patience * NANOS_PER_MILLI;
    return patience;
  }

  /** Within the pause after a fetch the next one is due at its end, not with a later note. */
  private int nearDelayMillis(long pauseEnds, long now) {
    if (now >= pauseEnds) {
      return 0;
    }
    if (now < nearDueNanos) {
      return NEVER;
    }
    nearDueNanos = pauseEnds;
    return (int) ((pauseEnds - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  /**
   * Takes the turn to fetch.
   *
   * @param now the steady time, in nanoseconds
   * @return false when another fetch was begun a moment ago
   */
  boolean take(long now) {
    if (now - lastFetchNanos < pauseNanos) {
      return false;
    }
    lastFetchNanos = now;
    return true;
  }
}
