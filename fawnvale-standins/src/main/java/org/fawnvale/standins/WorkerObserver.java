package org.fawnvale.standins;

/**
 * Receives the requests and the responses of the users' platform's workers. All methods are
 * optional.
 */
public interface WorkerObserver {

  /** An observer that ignores all calls. */
  WorkerObserver NONE = new WorkerObserver() {};

  /**
   * Called when a request has reached a worker.
   *
   * @param attempt the request's attempt id
   * @param worker the worker's id
   */
  default void arrived(String attempt, String worker) {
    // Ignored by default.
  }

  /**
   * Called when a worker has started to run a request.
   *
   * @param attempt the request's attempt id
   * @param worker the worker's id
   */
  default void began(String attempt, String worker) {
    // Ignored by default.
  }

  /**
   * Called before a worker answers a request.
   *
   * @param attempt the request's attempt id
   * @param worker the worker's id
   * @param restMillis the Retry-After pause of the response, in milliseconds; 0 for none
   * @param leaving whether the response announces that the worker is leaving
   */
  default void answers(String attempt, String worker, long restMillis, boolean leaving) {
    // Ignored by default.
  }

  /**
   * Called before a worker advertises a limit in its response to a request.
   *
   * @param attempt the request's attempt id
   * @param worker the worker's id
   * @param limit the limit as a header value
   */
  default void namesLimit(String attempt, String worker, String limit) {
    // Ignored by default.
  }

  /**
   * Called when a worker has started a new incarnation, without the state of the former one.
   *
   * @param worker the worker's id
   */
  default void started(String worker) {
    // Ignored by default.
  }

  /**
   * Called before a worker that was away publishes that it is cold.
   *
   * @param worker the worker's id
   * @param millis how long it is cold, in milliseconds
   */
  default void returnsCold(String worker, long millis) {
    // Ignored by default.
  }

  /**
   * Called when a worker has crashed while it ran a request.
   *
   * @param attempt the request's attempt id
   * @param worker the worker's id
   */
  default void ended(String attempt, String worker) {
    // Ignored by default.
  }

  /**
   * Called before a worker fails, is removed, or refuses or breaks off requests for some time.
   *
   * @param worker the worker's id
   * @param millis how long, in milliseconds; until the restart for one that crashes
   */
  default void impaired(String worker, long millis) {
    // Ignored by default.
  }

  /**
   * Called before a worker sends some of its responses a second time for some time.
   *
   * @param worker the worker's id
   * @param millis how long, in milliseconds
   */
  default void answersRepeated(String worker, long millis) {
    // Ignored by default.
  }

  /**
   * Called when a head has accepted the order to open its group.
   *
   * @param group the group
   */
  default void groupOpened(ServingGroup group) {
    // Ignored by default.
  }

  /**
   * Called when an open head has accepted an order that ends its group.
   *
   * @param group the group
   * @param whole whether all members were alive and in the group until then
   */
  default void groupEnded(ServingGroup group, boolean whole) {
    // Ignored by default.
  }

  /**
   * Called when a member of an open group has crashed or was removed.
   *
   * @param worker the worker's id
   * @param group the group
   */
  default void memberLost(String worker, ServingGroup group) {
    // Ignored by default.
  }

  /**
   * Called when the store has accepted a configuration.
   *
   * @param version the configuration's version
   */
  default void configured(long version) {
    // Ignored by default.
  }

  /**
   * Called before a worker announces in its entry that it is draining.
   *
   * @param worker the worker's id
   */
  default void leavesListed(String worker) {
    // Ignored by default.
  }

  /**
   * Called after the store has accepted the evacuation of a data centre, and before its removal.
   *
   * @param dataCentre the name of the data centre
   * @param begins whether the evacuation begins; false when the operator takes it back
   */
  default void evacuated(String dataCentre, boolean begins) {
    // Ignored by default.
  }
}
