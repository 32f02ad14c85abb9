package org.fawnvale.serving.http;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Receives the body and the end of the response to one request. All methods are called with the
 * daemon's lock held; after {@link #end} or {@link #failed} there are no further calls.
 */
public interface ResponseListener {

  /** Why a request got no complete response. */
  enum Failure {
    /** The connection was refused: the request was not sent. */
    REFUSED,
    /** No connection opened, or it closed before the request was handed to it: not sent. */
    UNREACHABLE,
    /** The request was withheld when its connection was ready: it was not sent. */
    HELD,
    /** The connection broke after the request was handed to it: the request may have run. */
    BROKEN,
    /**
     * The connection stood, and no whole response came within the time of the call: the request may
     * have run, and the node may only have paused.
     */
    SILENT
  }

  /**
   * Called with the head of each answer that arrives on the connection, to tell whether it belongs
   * to the request. Other methods are called only for an answer that does.
   *
   * @param response the status and headers
   * @return {@link AnswerMatch#OWN} where nothing in an answer tells
   */
  default AnswerMatch match(HttpResponse response) {
    return AnswerMatch.OWN;
  }

  /**
   * Called with each part of the body.
   *
   * @param data the part; valid only during the call
   */
  void data(ByteBuffer data);

  /**
   * Called when the bytes that were to be read so far are used up and the response is not complete.
   *
   * @return how many more bytes may be read; 0 to read no more until {@link ClientExchange#resume}
   */
  default int readCapacity() {
    return Integer.MAX_VALUE;
  }

  /** Called once the response is complete. */
  void end();

  /**
   * Called once if the request fails.
   *
   * @param failure whether the request may have been sent, and why it failed
   * @param cause the underlying exception
   */
  void failed(Failure failure, Exception cause);
}
