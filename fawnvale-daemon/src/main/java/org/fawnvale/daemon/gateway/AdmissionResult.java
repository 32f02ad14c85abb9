package org.fawnvale.daemon.gateway;

import org.fawnvale.core.outcome.Outcome;

/** What came of waiting for a turn. */
public sealed interface AdmissionResult {

  /**
   * The request may go to a target, and counts as work there until it is ended.
   *
   * @param target where to
   * @param waitedNanos how long it waited, nanoseconds
   */
  record Granted(Target target, long waitedNanos) implements AdmissionResult {}

  /**
   * There is no turn.
   *
   * @param notRun why not, and when to come back
   * @param overloaded true when there is too much work, false when nothing could serve
   */
  record Denied(Outcome.NotRun notRun, boolean overloaded) implements AdmissionResult {}
}
