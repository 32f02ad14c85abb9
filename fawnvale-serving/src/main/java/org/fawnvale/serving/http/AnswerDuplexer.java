package org.fawnvale.serving.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** The library's side of a connection that this daemon opens; its answers have whole chunks. */
final class AnswerDuplexer extends ClientHttp1StreamDuplexer {

  private final Http1Config config;

  /**
   * Creates the library's side of a connection.
   *
   * @param session the connection
   * @param processor adds the headers of the protocol to requests
   * @param config the bounds of the answers
   * @param answers reads the heads of the answers
   */
  AnswerDuplexer(
      ProtocolIOSession session,
      HttpProcessor processor,
      Http1Config config,
      AnswerParser answers) {
    super(
        session,
        processor,
        config,
        CharCodingConfig.DEFAULT,
        DefaultConnectionReuseStrategy.INSTANCE,
        answers,
        HeadWriter.ofRequests(),
        null,
        null,
        null);
    this.config = config;
  }

  @Override
  protected ContentDecoder createContentDecoder(
      long length,
      ReadableByteChannel channel,
      SessionInputBuffer input,
      BasicHttpTransportMetrics metrics)
      throws HttpException {
    return super.createContentDecoder(
        length, channel, new CompleteLines(input, new LineLimit(config)), metrics);
  }
}
