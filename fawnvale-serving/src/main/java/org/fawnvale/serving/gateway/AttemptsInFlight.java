package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request that run now: the earlier one and, while the request is moved, the
 * later one beside it. The earlier one is kept until the later one answers, since that one may
 * refuse, and the earlier one may be sound. Callers of the methods hold the lock.
 */
final class AttemptsInFlight {

  private @Nullable RunningAttempt earlier;
  private @Nullable RunningAttempt later;

  /** Adds an attempt beside the one that runs, if any. */
  void add(RunningAttempt attempt) {
    if (earlier == null) {
      earlier = attempt;
    } else {
      later = attempt;
    }
  }

  /** Returns the attempt that has run for longest; null if none runs. */
  @Nullable RunningAttempt earlier() {
    return earlier;
  }

  /** Returns whether a second attempt runs. */
  boolean isMoving() {
    return later != null;
  }

  /** Returns all attempts that run, the earlier one first. */
  List<RunningAttempt> all() {
    List<RunningAttempt> all = new ArrayList<>();
    if (earlier != null) {
      all.add(earlier);
    }
    if (later != null) {
      all.add(later);
    }
    return all;
  }

  /**
   * Removes an attempt that has ended.
   *
   * @return whether another one runs on
   */
  boolean remove(RunningAttempt ended) {
    if (ended == later) {
      later = null;
    } else if (ended == earlier) {
      earlier = later;
      later = null;
    }
    return earlier != null;
  }

  /**
   * Keeps an attempt, which answers, and removes the other one.
   *
   * @return the one that was removed and still runs; null if there was none
   */
  @Nullable RunningAttempt keepOnly(RunningAttempt answering) {
    RunningAttempt other = answering == earlier ? later : earlier;
    earlier = answering;
    later = null;
    return other == answering ? null : other;
  }
}
