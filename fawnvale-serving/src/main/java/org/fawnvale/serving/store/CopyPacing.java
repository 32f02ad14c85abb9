package org.fawnvale.serving.store;

/**
 * When a copy that a peer tells of is fetched: at once from a near peer, later from a far one or by
 * a daemon that watches the store itself, and never more often than notes come. Every daemon hears
 * of each change from all others, so without this each change would be fetched from all of them.
 */
final class CopyPacing {

  /** Not at all: another fetch is under way or due. */
  static final int NEVER = -1;

  /** About the time between two notes. */
  private static final long PAUSE_NANOS = 150_000_000L;

  /**
   * A watcher is about to hear the same from the store: a configuration of 1,800 routes takes 0.3 s
   * over a link of 14 Mbit/s, and a second copy from a peer would take as long again on both links.
   */
  private static final int WATCHER_PATIENCE_MILLIS = 600;

  /** A watcher of this data centre rests 300 ms between calls, and its next note takes 150 ms. */
  private static final int FAR_PATIENCE_MILLIS = 700;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private long lastFetchNanos = Long.MIN_VALUE / 2;
  private long laterUntilNanos = Long.MIN_VALUE / 2;

  /**
   * Decides on a newer copy that a peer tells of.
   *
   * @param watches whether this daemon watches the store and is answered
   * @param isNear whether the peer is of the same data centre
   * @param now the steady time, in nanoseconds
   * @return milliseconds to wait before the fetch; {@link #NEVER} when there is to be none
   */
  int delayMillis(boolean watches, boolean isNear, long now) {
    if (now - lastFetchNanos < PAUSE_NANOS) {
      return NEVER;
    }
    if (!watches && isNear) {
      return 0;
    }
    if (now < laterUntilNanos) {
      return NEVER;
    }
    int patience = watches ? WATCHER_PATIENCE_MILLIS : FAR_PATIENCE_MILLIS;
    laterUntilNanos = now + patience * NANOS_PER_MILLI;
    return patience;
  }

  /**
   * Takes the turn to fetch.
   *
   * @param now the steady time, in nanoseconds
   * @return false when another fetch was begun a moment ago
   */
  boolean take(long now) {
    if (now - lastFetchNanos < PAUSE_NANOS) {
      return false;
    }
    lastFetchNanos = now;
    return true;
  }
}
