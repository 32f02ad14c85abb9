package org.fawnvale.soak;

/** Checks one guarantee against the events that callers and workers observed. */
@FunctionalInterface
interface Check {

  /**
   * Evaluates a run.
   *
   * @param history the recorded events of the run
   */
  Verdict judge(RunHistory history);
}
