package org.fawnvale.soak;

/**
 * An attempt of an ordinary caller and what the caller received.
 *
 * @param sent the request
 * @param answered the response
 */
record JudgedAttempt(Event.Sent sent, Event.Answered answered) {

  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  String id() {
    return sent.attempt();
  }

  long lifeNanos() {
    return answered.atNanos() - sent.atNanos();
  }

  /**
   * Returns whether the caller got no whole response, or was told that the request may have run.
   */
  boolean isLost() {
    int status = answered.answer().status();
    return status == Answer.NONE || status == BAD_GATEWAY || status == GATEWAY_TIMEOUT;
  }
}
