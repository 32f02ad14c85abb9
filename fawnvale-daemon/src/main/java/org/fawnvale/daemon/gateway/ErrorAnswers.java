package org.fawnvale.daemon.gateway;

import org.fawnvale.core.outcome.Outcome;

/** Creates the error answers for requests that did not run or whose outcome is unknown. */
final class ErrorAnswers {

  static final int BAD_REQUEST = 400;
  static final int UNAUTHENTICATED = 401;
  static final int FORBIDDEN = 403;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int TOO_LARGE = 413;
  static final int TOO_MANY = 429;
  static final int BAD_GATEWAY = 502;
  static final int UNAVAILABLE = 503;
  static final int TIMEOUT = 504;

  private static final long MINIMUM_RETRY_AFTER_SECONDS = 1;

  private ErrorAnswers() {}

  static Answer.Whole badInput(String code, String message, String remedy) {
    return Answer.error(BAD_REQUEST, notRun(message, 0), code, message, remedy);
  }

  static Answer.Whole unauthenticated() {
    String message = "The API key is missing or unknown.";
    return Answer.error(
        UNAUTHENTICATED,
        notRun(message, 0),
        "unknown_key",
        message,
        "Send 'Authorization: Bearer <key>' with a key of your workspace.");
  }

  static Answer.Whole forbidden(String message) {
    return Answer.error(
        FORBIDDEN,
        notRun(message, 0),
        "forbidden",
        message,
        "Ask the operators to grant the workspace access in the bundle.");
  }

  static Answer.Whole notFound(String message) {
    return Answer.error(
        NOT_FOUND, notRun(message, 0), "not_found", message, "Correct the name or the path.");
  }

  static Answer.Whole tooLarge(int limitBytes) {
    String message = "The request body exceeds the limit of " + limitBytes + " bytes.";
    return Answer.error(
        TOO_LARGE, notRun(message, 0), "body_too_large", message, "Send a shorter body.");
  }

  static Answer.Whole overloaded(String message, long retryAfterSeconds) {
    return Answer.error(
        TOO_MANY,
        notRun(message, Math.max(MINIMUM_RETRY_AFTER_SECONDS, retryAfterSeconds)),
        "overloaded",
        message,
        "Retry after the number of seconds in Retry-After.");
  }

  static Answer.Whole unavailable(String message, long retryAfterSeconds) {
    return Answer.error(
        UNAVAILABLE,
        notRun(message, Math.max(MINIMUM_RETRY_AFTER_SECONDS, retryAfterSeconds)),
        "unavailable",
        message,
        "The request did not run; retry after the number of seconds in Retry-After.");
  }

  static Answer.Whole keyAlreadyUsed(String message, Outcome outcome) {
    return Answer.error(
        CONFLICT,
        outcome,
        "key_used",
        message,
        "Check what the first request did; use a new key for a new request.");
  }

  static Answer.Whole unknown(String message, boolean late) {
    return Answer.error(
        late ? TIMEOUT : BAD_GATEWAY,
        new Outcome.Unknown(message),
        "outcome_unknown",
        message,
        "The request may have run; repeat it only if it is safe to run twice.");
  }

  static Outcome.NotRun notRun(String reason, long retryAfterSeconds) {
    return new Outcome.NotRun(reason, retryAfterSeconds);
  }
}
