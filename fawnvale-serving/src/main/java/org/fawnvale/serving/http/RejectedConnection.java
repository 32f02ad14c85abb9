package org.fawnvale.serving.http;

import java.nio.ByteBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** A connection that is closed before anything is read from it. */
final class RejectedConnection implements IOEventHandler {

  @Override
  public void connected(IOSession session) {
    session.close(CloseMode.IMMEDIATE);
  }

  @Override
  public void inputReady(IOSession session, ByteBuffer source) {
    session.close(CloseMode.IMMEDIATE);
  }

  @Override
  public void outputReady(IOSession session) {
    session.close(CloseMode.IMMEDIATE);
  }

  @Override
  public void timeout(IOSession session, Timeout timeout) {
    session.close(CloseMode.IMMEDIATE);
  }

  @Override
  public void exception(IOSession session, Exception cause) {
    session.close(CloseMode.IMMEDIATE);
  }

  @Override
  public void disconnected(IOSession session) {
    // Nothing was held for it.
  }
}
