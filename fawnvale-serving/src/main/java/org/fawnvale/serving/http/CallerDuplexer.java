package org.fawnvale.serving.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.http.core.HeadCheck;

/** The library's side of a connection of a caller; its requests have whole heads and chunks. */
final class CallerDuplexer extends ServerHttp1StreamDuplexer {

  private static final Logger LOG = LogManager.getLogger("http");

  private final CallerHeads heads;
  private final RequestLimits limits;
  private final RequestMemory memory;

  private CallerDuplexer(
      ProtocolIOSession session,
      HttpProcessor processor,
      HandlerFactory<AsyncServerExchangeHandler> exchanges,
      Http1Config config,
      CallerHeads heads,
      RequestLimits limits,
      RequestMemory memory) {
    super(
        session,
        processor,
        exchanges,
        URIScheme.HTTP.id,
        config,
        CharCodingConfig.DEFAULT,
        DefaultConnectionReuseStrategy.INSTANCE,
        heads,
        HeadWriter.ofResponses(),
        null,
        null,
        null,
        cause -> LOG.debug("A caller's connection failed: {}.", cause.toString()));
    this.heads = heads;
    this.limits = limits;
    this.memory = memory;
  }

  /**
   * Creates the library's side of a connection.
   *
   * @param session the connection
   * @param processor adds the headers of the protocol to responses
   * @param exchanges creates the handler of each request
   * @param config the sizes of buffers
   * @param limits the limits of the requests
   * @param gate lets one request pass at a time
   * @param memory counts what a request takes while it arrives
   */
  static CallerDuplexer create(
      ProtocolIOSession session,
      HttpProcessor processor,
      HandlerFactory<AsyncServerExchangeHandler> exchanges,
      Http1Config config,
      RequestLimits limits,
      RequestGate gate,
      RequestMemory memory) {
    CompleteHeads<HttpRequest> complete =
        new CompleteHeads<>(
            new DefaultHttpRequestParserFactory(config, new RequestsAsSent(), null).create(),
            HeadCheck.ofRequests(),
            new LineLimit(limits::headerBytes));
    CallerHeads heads = new CallerHeads(complete, gate, memory);
    return new CallerDuplexer(session, processor, exchanges, config, heads, limits, memory);
  }

  /** Returns what reads the heads of the requests. */
  CallerHeads heads() {
    return heads;
  }

  @Override
  protected ContentDecoder createContentDecoder(
      long length,
      ReadableByteChannel channel,
      SessionInputBuffer input,
      BasicHttpTransportMetrics metrics)
      throws HttpException {
    LineLimit lineLimit = new LineLimit(limits::headerBytes);
    return super.createContentDecoder(
        length, channel, new CallerBodyLines(input, lineLimit, memory), metrics);
  }
}
