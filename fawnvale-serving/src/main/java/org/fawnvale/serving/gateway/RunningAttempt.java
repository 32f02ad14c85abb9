package org.fawnvale.serving.gateway;

import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/** The attempt that currently runs a request. Callers of the methods hold the lock. */
interface RunningAttempt {

  /**
   * Cancels the attempt; without effect once it has ended.
   *
   * @param failed whether it counts as a failure of its upstream
   */
  void cancel(boolean failed);

  /** Handles that the caller's time is over before the attempt has ended. */
  void expire();

  /** Returns the node that runs the request; null if another daemon forwards it. */
  @Nullable Node node();

  /** Returns what has paid for the attempt. */
  SendPayment payment();

  /** Returns the id of the node, or the name of the daemon, that was sent the request. */
  String target();

  /** Describes for the log how far the answer has come, as {@code key=value} pairs. */
  String describe();

  /** Returns whether a node has begun to answer. */
  boolean hasBegun();

  /** Returns whether the input waits until the caller has read. */
  boolean isInputSuspended();

  /** Reads on, because the caller has read. */
  void resumeInput();

  /** Counts the stream as evidence of its upstream's work again once it has caught up. */
  void updateReading(long nowNanos);

  /**
   * Returns whether a stream that has begun stands still, and its node is another incarnation by
   * now or no longer serves the group to which the request was sent.
   */
  boolean isLeftBehind();

  /** Returns whether the next event is overdue by the targets of the request's route. */
  boolean isOverdue(long nowNanos);
}
