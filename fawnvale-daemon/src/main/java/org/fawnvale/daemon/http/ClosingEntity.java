package org.fawnvale.daemon.http;

import java.io.IOException;
import java.io.OutputStream;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/** A body that closes its connection at once when it cannot be written to its end. */
final class ClosingEntity extends HttpEntityWrapper {

  private final Runnable closeConnection;

  /**
   * Wraps a body.
   *
   * @param entity the body
   * @param closeConnection closes the connection without writing to it
   */
  ClosingEntity(HttpEntity entity, Runnable closeConnection) {
    super(entity);
    this.closeConnection = closeConnection;
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    boolean whole = false;
    try {
      super.writeTo(out);
      whole = true;
    } finally {
      if (!whole) {
        closeConnection.run();
      }
    }
  }
}
