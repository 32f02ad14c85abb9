package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller: the library's handler, which also detects that the caller closed it.
 */
final class ServerConnection extends ServerHttp1IOEventHandler
    implements CallerConnections.CallerConnection {

  private final ServerHttp1StreamDuplexer duplexer;
  private final Exchanges exchanges;
  private final InputLimit inputLimit;
  private final @Nullable CallerConnections connections;

  private ServerConnection(
      ServerHttp1StreamDuplexer duplexer,
      Exchanges exchanges,
      InputLimit inputLimit,
      @Nullable CallerConnections connections) {
    super(duplexer);
    this.duplexer = duplexer;
    this.exchanges = exchanges;
    this.inputLimit = inputLimit;
    this.connections = connections;
  }

  /** Creates the handlers of a connection's requests, and keeps the last one. */
  private static final class Exchanges implements HandlerFactory<AsyncServerExchangeHandler> {
    private final Supplier<AsyncServerExchangeHandler> handlers;
    private final Runnable closeConnection;
    private @Nullable AsyncServerExchangeHandler last;

    Exchanges(Supplier<AsyncServerExchangeHandler> handlers, Runnable closeConnection) {
      this.handlers = handlers;
      this.closeConnection = closeConnection;
    }

    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
      AsyncServerExchangeHandler handler = handlers.get();
      last = handler;
      if (handler instanceof ServerExchange exchange) {
        exchange.connected(closeConnection);
      }
      return handler;
    }
  }

  static ServerConnection create(
      Supplier<AsyncServerExchangeHandler> handlers,
      Function<HandlerFactory<AsyncServerExchangeHandler>, ServerHttp1StreamDuplexer> duplexers,
      InputLimit inputLimit,
      Runnable closeConnection,
      @Nullable CallerConnections connections) {
    Exchanges exchanges = new Exchanges(handlers, closeConnection);
    return new ServerConnection(duplexers.apply(exchanges), exchanges, inputLimit, connections);
  }

  @Override
  public void connected(IOSession session) throws IOException {
    recordActivity();
    super.connected(session);
  }

  @Override
  public void disconnected(IOSession session) {
    if (connections != null) {
      connections.closed(this);
    }
    if (exchanges.last instanceof ServerExchange exchange && !exchange.isEnded()) {
      exchange.callerClosed();
    }
    super.disconnected(session);
  }

  private void recordActivity() {
    if (connections != null) {
      connections.active(this);
    }
  }

  @Override
  public boolean isIdle() {
    return !(exchanges.last instanceof ServerExchange exchange) || exchange.isEnded();
  }

  @Override
  public void close() {
    exchanges.closeConnection.run();
  }

  @Override
  public void inputReady(IOSession session, ByteBuffer source) throws IOException {
    recordActivity();
    inputLimit.beginTurn();
    super.inputReady(session, source);
    boolean closing = !duplexer.isOpen();
    if (closing
        && exchanges.last instanceof ServerExchange exchange
        && exchange.isResponsePending()) {
      exchange.callerClosed();
      session.close(CloseMode.IMMEDIATE);
    }
  }
}
