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
   * A worker named a limit in its answer, or a limit that it had named was over.
   *
   * @param atNanos when
   * @param attempt the request's id; empty where the limit was over
   * @param worker the worker's id
   * @param limit the limit as it was written; empty when it was over
   */
  record NamedLimit(long atNanos, String attempt, String worker, String limit) implements Event {

    /** Tells whether the worker names none any more. */
    boolean isOver() {
      return attempt.isEmpty();
    }
  }

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

  /**
   * The store took a configuration that adds a route.
   *
   * @param atNanos when
   * @param version its version
   */
  record Configured(long atNanos, long version) implements Event {}

  /**
   * A caller asked a daemon for a route that came with a version.
   *
   * @param atNanos when it was sent
   * @param endNanos when the answer came
   * @param daemon the number of the daemon
   * @param version the version
   * @param status the status of the answer; 0 without one
   */
  record Probed(long atNanos, long endNanos, int daemon, long version, int status)
      implements Event {}

  /**
   * A worker said in its entry that it leaves.
   *
   * @param atNanos when
   * @param worker the worker's id
   */
  record LeavesListed(long atNanos, String worker) implements Event {}

  /**
   * The store fell into trouble, or was rid of it.
   *
   * @param atNanos when
   * @param begins whether the trouble began
   */
  record StoreTrouble(long atNanos, boolean begins) implements Event {}
}
