package org.fawnvale.soak;

/**
 * What a caller got.
 *
 * @param status the status; {@link #NONE} when the connection ended before a whole answer
 * @param attempt the id that the answer carries; empty when it carries none
 * @param signature the worker that signed it; empty when none did
 * @param body the body, as far as it came
 */
record Answer(int status, String attempt, String signature, String body) {

  /** The status of an answer that did not come whole. */
  static final int NONE = 0;

  private static final int SUCCESS = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  static Answer none() {
    return new Answer(NONE, "", "", "");
  }

  boolean isSuccess() {
    return status == SUCCESS;
  }

  /** Tells whether it promises that the request has not run and never will. */
  boolean saysNotRun() {
    return status == UNAVAILABLE || status == TOO_MANY;
  }
}
