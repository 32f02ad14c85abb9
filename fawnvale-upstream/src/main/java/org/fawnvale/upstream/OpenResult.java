package org.fawnvale.upstream;

/** What an upstream did with a request, as far as the response head shows. */
public sealed interface OpenResult {

  /**
   * This process sent no byte of the request.
   *
   * @param reason the cause, for messages
   */
  record NotSent(String reason) implements OpenResult {}

  /**
   * The upstream reports that it did not run the request.
   *
   * @param status the HTTP status of the response
   * @param retryAfterSeconds how long to wait before the next request, seconds
   */
  record Refused(int status, long retryAfterSeconds) implements OpenResult {}

  /**
   * No valid response arrived: the request may or may not have run.
   *
   * @param reason the cause, for messages
   * @param timedOut true if the connection stood until the deadline without a response
   */
  record Failed(String reason, boolean timedOut) implements OpenResult {}

  /**
   * The response head has arrived.
   *
   * @param answer the response, which the caller reads and closes
   */
  record Opened(OpenAnswer answer) implements OpenResult {}
}
