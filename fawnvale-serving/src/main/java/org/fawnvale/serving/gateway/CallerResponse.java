package org.fawnvale.serving.gateway;

import java.util.List;
import org.apache.hc.core5.http.Header;

/** Writes the response to a caller. */
interface CallerResponse {

  /**
   * Sends a complete response.
   *
   * @param headers headers, without those that frame the body
   */
  void respond(int status, List<Header> headers, byte[] body);

  /**
   * Sends the head of a response whose body follows in parts.
   *
   * @param headers headers, without those that frame the body
   */
  void begin(int status, List<Header> headers);

  /** Writes the next part of the body. */
  void write(byte[] part);

  /** Ends the response as complete. */
  void end();

  /** Aborts the response so that the caller can detect that it is incomplete. */
  void abort();
}
