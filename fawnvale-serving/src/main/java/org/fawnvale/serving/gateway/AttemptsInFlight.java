package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.fawnvale.serving.core.model.Node;
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

  /** Returns the node of the earlier attempt; null if none runs, or another daemon has it. */
  @Nullable Node node() {
    return earlier == null ? null : earlier.node();
  }

  /** Returns the nodes that run the request. */
  List<Node> nodes() {
    return all().stream().map(RunningAttempt::node).filter(Objects::nonNull).toList();
  }

  /** Returns whether a node has begun to answer. */
  boolean hasBegun() {
    return all().stream().anyMatch(RunningAttempt::hasBegun);
  }

  /** Returns whether the daemon reads no further until the caller has read. */
  boolean isInputSuspended() {
    return all().stream().anyMatch(RunningAttempt::isInputSuspended);
  }

  /** Reads on, because the caller has read. */
  void resumeInput() {
    all().forEach(RunningAttempt::resumeInput);
  }

  /** Counts a stream as evidence of its upstream's work again once it has caught up. */
  void updateReading(long nowNanos) {
    all().forEach(running -> running.updateReading(nowNanos));
  }

  /**
   * Returns whether the next event of the earlier attempt is overdue by the targets of its route.
   */
  boolean isOverdue(long nowNanos) {
    return earlier != null && earlier.isOverdue(nowNanos);
  }

  /** Returns whether the earlier attempt stands still in a group that its node has left. */
  boolean isLeftBehind() {
    return earlier != null && earlier.isLeftBehind();
  }

  /** Returns whether an attempt other than this one runs. */
  boolean hasOther(RunningAttempt attempt) {
    return all().stream().anyMatch(running -> running != attempt);
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
