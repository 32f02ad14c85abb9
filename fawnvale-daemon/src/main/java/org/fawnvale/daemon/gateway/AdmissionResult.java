package org.fawnvale.daemon.gateway;

import org.fawnvale.core.outcome.Outcome;

/** The result of a request's wait in a pool's admission queue. */
public sealed interface AdmissionResult {

  /**
   * The request may be sent to a target. It counts towards the target's load until it ends.
   *
   * @param target the target to send the request to
   * @param waitedNanos how long the request waited, nanoseconds
   */
  record Granted(Target target, long waitedNanos) implements AdmissionResult {}

  /**
   * The request was not admitted.
   *
   * @param notRun the reason, and when the caller may retry
   * @param overloaded true when the queue is full or the deadline cannot be met; false when no
   *     target is ready
   */
  record Denied(Outcome.NotRun notRun, boolean overloaded) implements AdmissionResult {}
}
