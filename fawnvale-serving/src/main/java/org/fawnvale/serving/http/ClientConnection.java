package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.reactor.IOSession;
import org.jspecify.annotations.Nullable;

/**
 * One connection that this daemon opens: the library's handler, the bound of its input, and what
 * tells its answers apart.
 */
final class ClientConnection extends ClientHttp1IOEventHandler {

  private final InputLimit inputLimit;
  private final AnswerParser answers;
  private int requests;

  ClientConnection(
      ClientHttp1StreamDuplexer duplexer, InputLimit inputLimit, AnswerParser answers) {
    super(duplexer);
    this.inputLimit = inputLimit;
    this.answers = answers;
  }

  /** Returns the connection of a session that this daemon has opened; null for any other. */
  static @Nullable ClientConnection of(IOSession session) {
    return session.getHandler() instanceof ClientConnection connection ? connection : null;
  }

  @Override
  public void inputReady(IOSession session, ByteBuffer source) throws IOException {
    inputLimit.beginTurn();
    super.inputReady(session, source);
  }

  /** Counts a request; returns how many the connection has carried, with this one. */
  int requestStarted() {
    return ++requests;
  }

  /** Returns whether the connection has carried a request. */
  boolean isUsed() {
    return requests > 0;
  }

  /** Records that the input has brought something of use. */
  void inputUsed() {
    inputLimit.used();
  }

  /** Records that a request is written, so that its answer is due. */
  void requestSent(ClientExchange exchange) {
    answers.setUnanswered(exchange);
  }

  /** Records that the answer is whole, so that no more bytes are due. */
  void answered() {
    answers.setUnanswered(null);
  }

  /** Returns whether all answers so far were those that were due. */
  boolean isInStep() {
    return !answers.hasReceivedForeignAnswer();
  }
}
