package org.fawnvale.serving.store;

import org.fawnvale.serving.core.watch.CopyDelays;

/**
 * Schedules fetches of newer copies that peers advertise. A daemon fetches from a peer of its own
 * data centre at once, and after a delay from a peer of another data centre or when it watches the
 * store itself. A minimum interval separates two fetches, because every peer advertises each change
 * and a daemon would otherwise fetch it from each of them.
 */
final class CopyPacing {

  /** No fetch is needed, because another one is scheduled or was started a moment ago. */
  static final int NEVER = -1;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CopyDelays times;
  private final long minIntervalNanos;
  private long lastFetchNanos = Long.MIN_VALUE / 2;
  private long nearFetchDueNanos = Long.MIN_VALUE / 2;
  private long delayedFetchDueNanos = Long.MIN_VALUE / 2;

  /**
   * Creates the pacing for one kind of objects.
   *
   * @param times the minimum interval between fetches and the delays before them
   */
  CopyPacing(CopyDelays times) {
    this.times = times;
    this.minIntervalNanos = times.minIntervalMillis() * NANOS_PER_MILLI;
  }

  /**
   * Decides when to fetch a newer copy that a peer advertises.
   *
   * @param watches whether this daemon watches the store and the store answers
   * @param isNear whether the peer is in the same data centre
   * @param now the monotonic time, in nanoseconds
   * @return the delay before the fetch in milliseconds; {@link #NEVER} when no fetch is needed
   */
  int delayMillis(boolean watches, boolean isNear, long now) {
    long intervalEnds = lastFetchNanos + minIntervalNanos;
    if (!watches && isNear) {
      return nearDelayMillis(intervalEnds, now);
    }
    if (now < intervalEnds) {
      return NEVER;
    }
    if (now < delayedFetchDueNanos) {
      return NEVER;
    }
    int delay = watches ? times.watcherDelayMillis() : times.remoteDelayMillis();
    delayedFetchDueNanos = now + delay * NANOS_PER_MILLI;
    return delay;
  }

  /**
   * Returns the delay of a fetch from a peer of the same data centre. Within the minimum interval,
   * one fetch is scheduled for the end of the interval, so that it does not have to wait for the
   * next message of a peer.
   */
  private int nearDelayMillis(long intervalEnds, long now) {
    if (now >= intervalEnds) {
      return 0;
    }
    if (now < nearFetchDueNanos) {
      return NEVER;
    }
    nearFetchDueNanos = intervalEnds;
    return (int) ((intervalEnds - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  /**
   * Starts a fetch unless the last one started within the minimum interval.
   *
   * @param now the monotonic time, in nanoseconds
   * @return true when the caller may fetch now
   */
  boolean tryStartFetch(long now) {
    if (now - lastFetchNanos < minIntervalNanos) {
      return false;
    }
    lastFetchNanos = now;
    return true;
  }
}
