package org.fawnvale.soak;

/** An event that a caller, a worker or the soak recorded; all times are of one monotonic clock. */
sealed interface Event {

  /**
   * Returns when the event was recorded.
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
   */
  record Sent(long atNanos, String attempt, int daemon, RequestKind kind) implements Event {}

  /**
   * A caller received a response, complete or not.
   *
   * @param atNanos when
   * @param attempt the request's id
   * @param answer the response
   */
  record Answered(long atNanos, String attempt, Answer answer) implements Event {}

  /**
   * A caller's connection was refused, or closed before any byte of a response.
   *
   * @param atNanos when
   * @param attempt the request's id
   */
  record ClosedUnread(long atNanos, String attempt) implements Event {}

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
   * A worker responded with a Retry-After pause or reported that it is leaving.
   *
   * @param atNanos when
   * @param attempt the request's id
   * @param worker the worker's id
   * @param restMillis the Retry-After pause in milliseconds; 0 for none
   * @param leaving whether the worker reported that it is leaving
   */
  record Asked(long atNanos, String attempt, String worker, long restMillis, boolean leaving)
      implements Event {}

  /**
   * A worker advertised a limit in its response, or stopped advertising one.
   *
   * @param atNanos when
   * @param attempt the request's id; empty when the limit ended
   * @param worker the worker's id
   * @param limit the limit as written in the response; empty when the limit ended
   */
  record NamedLimit(long atNanos, String attempt, String worker, String limit) implements Event {

    /** Returns whether the worker stopped advertising a limit. */
    boolean isEnd() {
      return attempt.isEmpty();
    }
  }

  /**
   * A worker started a new incarnation under its id.
   *
   * @param atNanos when
   * @param worker the worker's id
   */
  record Started(long atNanos, String worker) implements Event {}

  /**
   * A worker came back cold.
   *
   * @param atNanos when
   * @param worker the worker's id
   * @param millis how long it is cold, in milliseconds
   */
  record ReturnedCold(long atNanos, String worker, long millis) implements Event {}

  /**
   * A worker crashed while running a request.
   *
   * @param atNanos when
   * @param attempt the request's id
   * @param worker the worker's id
   */
  record Ended(long atNanos, String attempt, String worker) implements Event {}

  /**
   * A daemon was frozen, resumed, killed, stopped or restarted.
   *
   * @param atNanos when
   * @param daemon its number
   * @param what the action, such as kill
   */
  record Signalled(long atNanos, int daemon, String what) implements Event {}

  /**
   * A fault was injected, or a step of one failed.
   *
   * @param atNanos when
   * @param text the name of the fault and its parameters, or the failure
   */
  record Struck(long atNanos, String text) implements Event {}

  /**
   * The store accepted a configuration that adds a route.
   *
   * @param atNanos when
   * @param version its version
   */
  record Configured(long atNanos, long version) implements Event {}

  /**
   * The prober requested the route that a configuration version added.
   *
   * @param atNanos when the request was sent
   * @param endNanos when the response arrived
   * @param daemon the number of the daemon
   * @param status the status of the response; 0 without a response
   */
  record Probed(long atNanos, long endNanos, int daemon, long version, int status)
      implements Event {}

  /**
   * A worker is about to mark itself as leaving in its store entry.
   *
   * @param atNanos when
   * @param worker the worker's id
   */
  record LeavesListed(long atNanos, String worker) implements Event {}

  /**
   * The store accepted the evacuation of a data centre, or the operator is about to remove it.
   *
   * @param atNanos when
   * @param dataCentre the name of the data centre
   * @param begins whether the evacuation began
   */
  record Evacuated(long atNanos, String dataCentre, boolean begins) implements Event {}

  /**
   * A fault of the store began or ended.
   *
   * @param atNanos when
   * @param begins whether the fault began
   */
  record StoreTrouble(long atNanos, boolean begins) implements Event {}

  /**
   * A daemon was cut off from all workers, or reaches them again.
   *
   * @param atNanos when
   * @param daemon its number
   * @param begins whether it was cut off
   */
  record WorkersCut(long atNanos, int daemon, boolean begins) implements Event {}

  /**
   * Callers of a daemon stopped reading, or read on.
   *
   * @param atNanos when
   * @param daemon its number
   * @param begins whether they stopped reading
   * @param alive whether the daemon's process ran
   */
  record ReadersSilent(long atNanos, int daemon, boolean begins, boolean alive) implements Event {}

  /**
   * The soak looked whether a daemon's process runs.
   *
   * @param atNanos when
   * @param daemon its number
   * @param alive whether it runs
   */
  record DaemonSeen(long atNanos, int daemon, boolean alive) implements Event {}

  /**
   * A sound worker began to stand still.
   *
   * @param atNanos when
   * @param worker the worker's id
   * @param millis how long it stands still, in milliseconds
   */
  record Silent(long atNanos, String worker, long millis) implements Event {}

  /**
   * The streams of a sound worker began to stand still, while it answers calls.
   *
   * @param atNanos when
   * @param worker the worker's id
   * @param millis how long they stand still, in milliseconds
   */
  record StreamsHeld(long atNanos, String worker, long millis) implements Event {}

  /**
   * A worker is full beside others whose streams stand still: it rejects new requests as not run.
   *
   * @param atNanos when
   * @param worker the worker's id
   * @param millis how long, in milliseconds
   */
  record Full(long atNanos, String worker, long millis) implements Event {}

  /**
   * A worker is about to fail, to be removed, or to refuse or break off requests.
   *
   * @param atNanos when
   * @param worker the worker's id
   * @param millis how long, in milliseconds; until the restart for one that crashes
   */
  record Impaired(long atNanos, String worker, long millis) implements Event {}

  /**
   * A worker is about to send some of its responses a second time.
   *
   * @param atNanos when
   * @param worker the worker's id
   * @param millis how long, in milliseconds
   */
  record AnswersRepeated(long atNanos, String worker, long millis) implements Event {}

  /**
   * A head opened its group.
   *
   * @param atNanos when
   * @param group the group's name
   * @param epoch the group's epoch
   */
  record GroupOpened(long atNanos, String group, long epoch) implements Event {}

  /**
   * An open head accepted an order that ended its group.
   *
   * @param atNanos when
   * @param group the group's name
   * @param epoch the group's epoch
   * @param whole whether all members were alive and in the group
   */
  record GroupEnded(long atNanos, String group, long epoch, boolean whole) implements Event {}

  /**
   * A member of an open group is about to crash or to be removed.
   *
   * @param atNanos when
   * @param worker the member's id
   * @param group the group's name
   * @param epoch the group's epoch
   */
  record MemberLost(long atNanos, String worker, String group, long epoch) implements Event {}

  /**
   * The leader dissolved a group, as its log tells.
   *
   * @param atNanos when
   * @param group the group's name
   * @param epoch the group's epoch
   * @param reason the reason as written in the log
   */
  record Dissolved(long atNanos, String group, long epoch, String reason) implements Event {}

  /**
   * A daemon has forwarded an attempt to another daemon, as its log tells.
   *
   * @param attempt the attempt
   */
  record Forwarded(long atNanos, String attempt) implements Event {}
}
