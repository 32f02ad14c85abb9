package org.fawnvale.upstream;

import java.io.InputStream;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/** The library's side of a connection to an upstream; its answers have whole heads and chunks. */
final class UpstreamConnection extends DefaultBHttpClientConnection {

  /** Heads far above those of sound answers, which have some ten lines of some hundred bytes. */
  private static final Http1Config BOUNDED_HEADS =
      Http1Config.custom()
          .setMaxLineLength(16 << 10)
          .setMaxHeaderCount(256)
          .setMaxEmptyLineCount(8)
          .build();

  UpstreamConnection() {
    super(
        BOUNDED_HEADS,
        null,
        null,
        null,
        null,
        null,
        CompleteHeads.factory(new DefaultHttpResponseParserFactory(BOUNDED_HEADS)));
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer buffer, InputStream input) {
    InputStream body =
        length == ContentLengthStrategy.CHUNKED ? new CompleteInput(input, true) : input;
    return super.createContentInputStream(length, buffer, body);
  }
}
