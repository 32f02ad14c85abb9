package org.fawnvale.serving.gateway;

import java.util.List;
import org.apache.hc.core5.http.Header;

/** The answer to a caller, as the forwarder gives it. */
interface CallerResponse {

  /**
   * Gives a whole answer.
   *
   * @param status its status
   * @param headers its headers, without those that frame the body
   * @param body its body
   */
  void whole(int status, List<Header> headers, byte[] body);

  /**
   * Begins an answer whose body follows in parts.
   *
   * @param status its status
   * @param headers its headers, without those that frame the body
   */
  void begin(int status, List<Header> headers);

  /**
   * Passes a part of the body on.
   *
   * @param part the part
   */
  void write(byte[] part);

  /** Ends the answer as complete. */
  void end();

  /** Breaks the answer off, so that the caller sees that it is not complete. */
  void abort();
}
