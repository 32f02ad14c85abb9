package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.reactor.IOSession;

/** One connection that this daemon opens: the library's handler, and the bound of its input. */
final class ClientConnection extends ClientHttp1IOEventHandler {

  private final InputLimit inputLimit;
  private int requests;

  ClientConnection(ClientHttp1StreamDuplexer duplexer, InputLimit inputLimit) {
    super(duplexer);
    this.inputLimit = inputLimit;
  }

  @Override
  public void inputReady(IOSession session, ByteBuffer source) throws IOException {
    inputLimit.beginTurn();
    super.inputReady(session, source);
  }

  /** Counts a request on a connection; returns how many it has carried, with this one. */
  static int requestStarted(IOSession session) {
    return session.getHandler() instanceof ClientConnection connection ? ++connection.requests : 0;
  }

  /** Records that the input of a connection has brought something of use. */
  static void inputUsed(IOSession session) {
    if (session.getHandler() instanceof ClientConnection connection) {
      connection.inputLimit.used();
    }
  }
}
