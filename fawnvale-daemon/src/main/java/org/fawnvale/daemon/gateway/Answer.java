package org.fawnvale.daemon.gateway;

import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.upstream.CopyResult;

/** The answer to a caller's request. */
public sealed interface Answer {

  /** Header with the outcome of the request: whether it was answered, did not run or is unknown. */
  String OUTCOME_HEADER = "Fawnvale-Outcome";

  /** Returns the HTTP status code. */
  int status();

  /** Returns the HTTP headers, including the content type. */
  Map<String, String> headers();

  /**
   * An answer whose body is held in memory.
   *
   * @param outcome whether the request was answered, did not run or is unknown
   * @param status the HTTP status
   */
  record Whole(Outcome outcome, int status, Map<String, String> headers, byte[] body)
      implements Answer {

    /** Copies the map. */
    public Whole {
      headers = Map.copyOf(headers);
    }
  }

  /**
   * An answer whose body is copied to the caller while it arrives from the upstream.
   *
   * @param status the HTTP status
   * @param body copies the body to the caller
   */
  record Streamed(int status, Map<String, String> headers, Body body) implements Answer {

    /** Copies the map. */
    public Streamed {
      headers = Map.copyOf(headers);
    }
  }

  /** The body of a streamed answer; it can be copied once. */
  @FunctionalInterface
  interface Body {

    /**
     * Copies the body as it arrives, then releases the connection and the target's capacity.
     *
     * @param out receives the body
     * @return how the copying ended; unless the body is complete, the caller of this method must
     *     signal the failure to the receiver
     */
    CopyResult copyTo(OutputStream out);
  }

  /**
   * Creates an answer with a JSON error as its body.
   *
   * @param status the HTTP status
   * @param outcome whether the request was answered, did not run or is unknown
   * @param code the error code, for programs
   * @param message what is wrong
   * @param remedy what the caller can do about it
   */
  static Whole error(int status, Outcome outcome, String code, String message, String remedy) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/json");
    headers.put(OUTCOME_HEADER, outcome.label());
    if (outcome instanceof Outcome.NotRun notRun && notRun.retryAfterSeconds() > 0) {
      headers.put("Retry-After", Long.toString(notRun.retryAfterSeconds()));
    }
    ErrorBody body = new ErrorBody(new ErrorDetail(code, message, remedy, outcome.label()));
    return new Whole(outcome, status, headers, Documents.write(body));
  }

  /**
   * The JSON body of an error answer.
   *
   * @param error the details
   */
  record ErrorBody(ErrorDetail error) {}

  /**
   * The details of an error, as JSON.
   *
   * @param code the error code, for programs
   * @param message what is wrong
   * @param remedy what the caller can do about it
   * @param outcome whether the request was answered, did not run or is unknown
   */
  record ErrorDetail(String code, String message, String remedy, String outcome) {}
}
