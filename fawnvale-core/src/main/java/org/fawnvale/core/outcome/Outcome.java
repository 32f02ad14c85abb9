package org.fawnvale.core.outcome;

/** The outcome of a caller's request; each request has exactly one outcome. */
public sealed interface Outcome {

  /** Returns the name of the outcome in the response header and in the metrics. */
  String label();

  /** The caller has received the complete response. */
  record Answered() implements Outcome {
    @Override
    public String label() {
      return "answered";
    }
  }

  /**
   * The request did not run and will not run.
   *
   * @param reason why
   * @param retryAfterSeconds when the caller may retry, seconds
   */
  record NotRun(String reason, long retryAfterSeconds) implements Outcome {
    @Override
    public String label() {
      return "not-run";
    }
  }

  /**
   * The request may or may not have run; the caller has no complete response.
   *
   * @param reason what happened
   */
  record Unknown(String reason) implements Outcome {
    @Override
    public String label() {
      return "unknown";
    }
  }
}
