package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.IdentityDecoder;
import org.apache.hc.core5.http.impl.nio.LengthDelimitedDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/** The body of an answer to another request, which is read to find its end. */
final class ForeignBody {

  private static final int BLOCK_BYTES = 4096;

  /** The decoders read what the connection has received already, and nothing beyond. */
  private static final ReadableByteChannel NO_MORE_INPUT = new EmptyChannel();

  private final @Nullable ContentDecoder decoder;
  private final ByteBuffer block = ByteBuffer.allocate(BLOCK_BYTES);

  private ForeignBody(@Nullable ContentDecoder decoder) {
    this.decoder = decoder;
  }

  /**
   * Creates the body that follows a head. Requests whose answers have no body whatever their head
   * announces are not sent over connections that are used again.
   *
   * @param head the status and headers of the answer
   * @param input the received bytes, from behind the head on
   * @throws HttpException if the head announces the body in a way that can't be read
   */
  static ForeignBody of(HttpResponse head, SessionInputBuffer input, Http1Config config)
      throws HttpException {
    int status = head.getCode();
    if (status == HttpStatus.SC_NO_CONTENT || status == HttpStatus.SC_NOT_MODIFIED) {
      return new ForeignBody(null);
    }
    BasicHttpTransportMetrics metrics = new BasicHttpTransportMetrics();
    long length = DefaultContentLengthStrategy.INSTANCE.determineLength(head);
    if (length >= 0) {
      return new ForeignBody(new LengthDelimitedDecoder(NO_MORE_INPUT, input, metrics, length));
    }
    return new ForeignBody(
        length == ContentLengthStrategy.CHUNKED
            ? new ChunkDecoder(
                NO_MORE_INPUT, new CompleteLines(input, new LineLimit(config)), config, metrics)
            : new IdentityDecoder(NO_MORE_INPUT, input, metrics));
  }

  /**
   * Discards what has arrived.
   *
   * @return whether the body has ended
   * @throws IOException if its chunks can't be read
   */
  boolean discard() throws IOException {
    ContentDecoder body = decoder;
    if (body == null) {
      return true;
    }
    int bytes;
    do {
      block.clear();
      bytes = body.read(block);
    } while (bytes > 0 && !body.isCompleted());
    return body.isCompleted();
  }

  /** A channel that never has input and never ends. */
  private static final class EmptyChannel implements ReadableByteChannel {
    @Override
    public int read(ByteBuffer target) {
      return 0;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {
      // There is nothing to release.
    }
  }
}
