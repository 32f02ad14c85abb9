package org.fawnvale.serving.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The library's side of a connection of a caller; its requests have whole heads and chunks. */
final class CallerDuplexer extends ServerHttp1StreamDuplexer {

  private static final Logger LOG = LogManager.getLogger("http");

  private final Http1Config config;

  /**
   * Creates the library's side of a connection.
   *
   * @param session the connection
   * @param processor adds the headers of the protocol to responses
   * @param exchanges creates the handler of each request
   * @param config the bounds of the requests
   */
  CallerDuplexer(
      ProtocolIOSession session,
      HttpProcessor processor,
      HandlerFactory<AsyncServerExchangeHandler> exchanges,
      Http1Config config) {
    super(
        session,
        processor,
        exchanges,
        URIScheme.HTTP.id,
        config,
        CharCodingConfig.DEFAULT,
        DefaultConnectionReuseStrategy.INSTANCE,
        new CompleteHeads<>(
            new DefaultHttpRequestParserFactory(config).create(), new LineLimit(config)),
        new DefaultHttpResponseWriterFactory(config).create(),
        null,
        null,
        null,
        cause -> LOG.debug("A caller's connection failed: {}.", cause.toString()));
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
