package org.fawnvale.serving.gateway;

import java.util.List;
import org.apache.hc.core5.http.Header;

/**
 * Writes the response to a caller. A response that can't be written, as an {@link
 * IllegalArgumentException} tells, leaves the caller free for another one.
 */
interface CallerResponse {

  /**
   * Sends a complete response.
   *
   * @param headers headers, without those that frame the body
   * @throws IllegalArgumentException if status or headers can't be written; nothing has been sent
   */
  void respond(int status, List<Header> headers, byte[] body);

  /**
   * Sends the head of a response whose body follows in parts.
   *
   * @param headers headers, without those that frame the body
   * @throws IllegalArgumentException if status or headers can't be written; nothing has been sent
   */
  void begin(int status, List<Header> headers);

  /** Writes the next part of the body. */
  void write(byte[] part);

  /**
   * Returns how many more bytes may be read for this caller now.
   *
   * @return bytes; 0 when its upstream's input waits until {@link AttemptsInFlight#resumeInput}
   */
  int readCapacity();

  /**
   * Counts bytes that are held until the response is complete.
   *
   * @param bytes their number
   */
  void collect(int bytes);

  /**
   * Returns whether an incomplete event may grow to a size.
   *
   * @param bytes the memory that it would take
   */
  boolean hasRoomForPartial(int bytes);

  /**
   * Counts the memory of an incomplete event, in place of what was counted before.
   *
   * @param bytes their number
   */
  void holdPartial(int bytes);

  /** Drops the count of the bytes that were held until the event or the response is complete. */
  void endCollecting();

  /** Ends the response as complete. */
  void end();

  /** Aborts the response so that the caller can detect that it is incomplete. */
  void abort();
}
