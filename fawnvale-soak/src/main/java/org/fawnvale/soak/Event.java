package org.fawnvale.soak;

/** What callers, workers or the soak itself saw; all times are of one steady clock. */
sealed interface Event {

  /**
   * When it was seen.
   *
   * @return nanoseconds from the start of the run
   */
  long atNanos();

  /**
   * A caller sent a request.
   *
   * @param atNanos when
   * @param attempt its id
   * @param daemon the number of the daemon that it was sent to
   * @param kind its kind
   */
  record Sent(long atNanos, String attempt, int daemon, Kind kind) implements Event {}

  /**
   * A caller got an answer, whole or broken.
   *
   * @param atNanos when
   * @param attempt the request's id
   * @param answer the answer
   */
  record Answered(long atNanos, String attempt, Answer answer) implements Event {}

  /**
   * A request reached a worker.
   *
   * @param atNanos when
   * @param attempt its id
   * @param worker the worker's id
   */
  record Arrived(long atNanos, String attempt, String worker) implements Event {}

  /**
   * A worker began to run a request.
   *
   * @param atNanos when
   * @param attempt its id
   * @param worker the worker's id
   */
  record Began(long atNanos, String attempt, String worker) implements Event {}

  /**
   * A worker answered and asked for something.
   *
   * @param atNanos when
   * @param attempt the request's id
   * @param worker the worker's id
   * @param restMillis the rest that it asked for, in milliseconds; 0 for none
   * @param leaving whether it said that it leaves
   */
  record Asked(long atNanos, String attempt, String worker, long restMillis, boolean leaving)
      implements Event {}

  /**
   * A worker began a new life under its id.
   *
   * @param atNanos when
   * @param worker the worker's id
   */
  record Started(long atNanos, String worker) implements Event {}

  /**
   * A worker ended under a request.
   *
   * @param atNanos when
   * @param attempt the request's id
   * @param worker the worker's id
   */
  record Ended(long atNanos, String attempt, String worker) implements Event {}

  /**
   * A daemon was frozen, killed or told to stop, or went on or started again.
   *
   * @param atNanos when
   * @param daemon its number
   * @param what what was done
   */
  record Signalled(long atNanos, int daemon, String what) implements Event {}

  /**
   * A fault struck.
   *
   * @param atNanos when
   * @param text what it was, with all that was drawn
   */
  record Struck(long atNanos, String text) implements Event {}
}
