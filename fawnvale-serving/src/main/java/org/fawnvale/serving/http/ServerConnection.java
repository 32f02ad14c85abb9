package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.function.Supplier;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller: the library's handler, which also detects that the caller closed it,
 * and tells the account what it holds.
 */
final class ServerConnection extends ServerHttp1IOEventHandler {

  private final CallerDuplexer duplexer;
  private final Parts parts;
  private final CallerConnections connections;
  private volatile long lastUseNanos = System.nanoTime();

  /**
   * What the layers of a connection share.
   *
   * @param session the connection
   * @param exchanges creates the handlers of its requests
   * @param inputLimit bounds its turns
   * @param limits the limits of its requests
   * @param gate lets one request pass at a time
   * @param memory counts what a request takes while it arrives
   */
  record Parts(
      IOSession session,
      Exchanges exchanges,
      InputLimit inputLimit,
      RequestLimits limits,
      RequestGate gate,
      RequestMemory memory) {

    static Parts of(
        IOSession session, Supplier<AsyncServerExchangeHandler> handlers, RequestLimits limits) {
      Exchanges exchanges = new Exchanges(handlers, () -> session.close(CloseMode.IMMEDIATE));
      return new Parts(
          session,
          exchanges,
          InputLimit.ofRequests(),
          limits,
          new RequestGate(() -> exchanges.isUnanswered() || hasUnwritten(session)),
          new RequestMemory());
    }

    /**
     * The library ends an exchange without a body before its answer is written. Where that can't be
     * any more, the caller has left, and what it has sent ahead is not read.
     */
    private static boolean hasUnwritten(IOSession session) {
      try {
        return !session.isOpen() || (session.getEventMask() & SelectionKey.OP_WRITE) != 0;
      } catch (CancelledKeyException e) {
        // Another thread has just closed the session.
        return true;
      }
    }
  }

  /** Creates the handlers of a connection's requests, and keeps the last one. */
  static final class Exchanges implements HandlerFactory<AsyncServerExchangeHandler> {
    private final Supplier<AsyncServerExchangeHandler> handlers;
    private final Runnable closeConnection;
    private @Nullable CallerHolding holding;
    private @Nullable ServerExchange last;

    Exchanges(Supplier<AsyncServerExchangeHandler> handlers, Runnable closeConnection) {
      this.handlers = handlers;
      this.closeConnection = closeConnection;
    }

    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
      AsyncServerExchangeHandler handler =
          request instanceof MalformedRequest ? new MalformedRequestExchange() : handlers.get();
      if (handler instanceof ServerExchange exchange && holding != null) {
        last = exchange;
        exchange.connected(closeConnection, holding);
      }
      return handler;
    }

    /** Returns whether the answer to the last request has not been written to its end. */
    boolean isUnanswered() {
      ServerExchange exchange = last;
      return exchange != null && !exchange.isEnded();
    }
  }

  /**
   * Creates a connection.
   *
   * @param duplexer the library's side of it
   * @param parts what the duplexer shares with it
   * @param connections bounds the connections
   */
  ServerConnection(CallerDuplexer duplexer, Parts parts, CallerConnections connections) {
    super(duplexer);
    this.duplexer = duplexer;
    this.parts = parts;
    this.connections = connections;
  }

  @Override
  public void connected(IOSession session) throws IOException {
    CallerHolding holding = connections.open(this::giveWay, this::isExpired);
    parts.exchanges().holding = holding;
    parts.memory().attach(holding);
    super.connected(session);
  }

  /** Closes in an orderly way: the caller may not have read the end of its last answer. */
  private void giveWay() {
    parts.session().close(CloseMode.GRACEFUL);
  }

  private boolean isExpired() {
    long now = System.nanoTime();
    CallerHolding holding = parts.exchanges().holding;
    boolean waitsForCaller = holding != null && holding.isArriving();
    return waitsForCaller
        && (duplexer.heads().isLate(parts.limits(), now)
            || parts.limits().isIdleTooLong(lastUseNanos, now));
  }

  @Override
  public void disconnected(IOSession session) {
    CallerHolding holding = parts.exchanges().holding;
    if (holding != null) {
      connections.closed(holding);
    }
    ServerExchange exchange = parts.exchanges().last;
    if (exchange != null && !exchange.isEnded()) {
      exchange.callerClosed();
    }
    super.disconnected(session);
  }

  @Override
  public void inputReady(IOSession session, @Nullable ByteBuffer source) throws IOException {
    lastUseNanos = System.nanoTime();
    parts.inputLimit().beginTurn();
    super.inputReady(session, source);
    boolean closing = !duplexer.isOpen();
    ServerExchange exchange = parts.exchanges().last;
    if (closing && exchange != null && exchange.isResponsePending()) {
      exchange.callerClosed();
      session.close(CloseMode.IMMEDIATE);
    }
    if (parts.gate().isFull()) {
      session.clearEvent(SelectionKey.OP_READ);
    }
    connections.makeRoom();
  }

  /** Writes on, and reads the next request if it has waited for this answer. */
  @Override
  public void outputReady(IOSession session) throws IOException {
    lastUseNanos = System.nanoTime();
    super.outputReady(session);
    if (parts.gate().isWaitingInputDue() && duplexer.isOpen()) {
      session.setEvent(SelectionKey.OP_READ);
      inputReady(session, null);
    }
  }
}
