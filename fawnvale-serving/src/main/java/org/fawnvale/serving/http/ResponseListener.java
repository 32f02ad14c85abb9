package org.fawnvale.serving.http;

import java.nio.ByteBuffer;

/** Told of the answer to one request but for its head; called while holding the guard. */
public interface ResponseListener {

  /** How a request failed. */
  enum Failure {
    /** Nothing listens at the address: the request was not sent. */
    REFUSED,
    /** No connection came up: the request was not sent. */
    UNREACHABLE,
    /** It was not to be sent any more when its connection was there. */
    HELD,
    /** The connection broke after the request was handed over: it may have run. */
    BROKEN
  }

  /**
   * A part of the body has come.
   *
   * @param data the part; read it before returning
   */
  void data(ByteBuffer data);

  /** The answer is whole. */
  void end();

  /**
   * The request failed; nothing else follows.
   *
   * @param failure how
   * @param cause why
   */
  void failed(Failure failure, Exception cause);
}
