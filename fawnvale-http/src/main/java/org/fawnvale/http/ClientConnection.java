package org.fawnvale.http;

import java.io.InputStream;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.fawnvale.http.core.HeadCheck;

/** A client's connection; its answers have whole heads and chunks, by the grammar. */
public final class ClientConnection extends DefaultBHttpClientConnection {

  /**
   * Creates a connection that is not bound to a socket yet.
   *
   * @param config the bounds of the answers
   */
  public ClientConnection(Http1Config config) {
    super(
        config,
        null,
        null,
        null,
        null,
        null,
        CompleteHeads.factory(new DefaultHttpResponseParserFactory(config), HeadCheck::ofAnswers));
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer buffer, InputStream input) {
    return super.createContentInputStream(
        length, CheckedChunks.ofBody(length, buffer), CompleteInput.ofBody(length, input));
  }
}
