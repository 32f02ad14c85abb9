package org.fawnvale.standins;

/** Told of what reaches the workers of the users' platform and what they answer. */
public interface WorkerObserver {

  /** Hears nothing. */
  WorkerObserver NONE = new WorkerObserver() {};

  /**
   * A request has reached a worker.
   *
   * @param attempt its id
   * @param worker the worker's id
   */
  default void arrived(String attempt, String worker) {
    // Not every observer needs it.
  }

  /**
   * A worker has begun to run a request.
   *
   * @param attempt its id
   * @param worker the worker's id
   */
  default void began(String attempt, String worker) {
    // Not every observer needs it.
  }

  /**
   * A worker is about to answer a request.
   *
   * @param attempt the request's id
   * @param worker the worker's id
   * @param restMillis the rest that the answer asks for, in milliseconds; 0 for none
   * @param leaving whether the answer says that the worker leaves
   */
  default void answers(String attempt, String worker, long restMillis, boolean leaving) {
    // Not every observer needs it.
  }

  /**
   * A worker is about to name a limit in its answer to a request.
   *
   * @param attempt the request's id
   * @param worker the worker's id
   * @param limit the limit as it is written
   */
  default void namesLimit(String attempt, String worker, String limit) {
    // Not every observer needs it.
  }

  /**
   * A worker has begun a life: it holds and knows nothing of one before.
   *
   * @param worker the worker's id
   */
  default void started(String worker) {
    // Not every observer needs it.
  }

  /**
   * A worker has ended under a request.
   *
   * @param attempt the request's id
   * @param worker the worker's id
   */
  default void ended(String attempt, String worker) {
    // Not every observer needs it.
  }

  /**
   * The store has taken a configuration.
   *
   * @param version its version
   */
  default void configured(long version) {
    // Not every observer needs it.
  }

  /**
   * A worker is about to say in its entry that it leaves.
   *
   * @param worker the worker's id
   */
  default void leavesListed(String worker) {
    // Not every observer needs it.
  }
}
