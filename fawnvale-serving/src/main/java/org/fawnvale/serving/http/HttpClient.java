package org.fawnvale.serving.http;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.fawnvale.serving.core.model.Endpoint;

/** Sends requests over kept connections, one request at a time on each. */
public final class HttpClient {

  /**
   * How long a connection may take to open. Data centres are milliseconds apart; a machine behind a
   * cut says nothing, and the request is better off elsewhere.
   */
  private static final long CONNECT_MILLIS = 300;

  private static final long DEFAULT_KEEP_MILLIS = 20_000;

  private final HttpReactor reactor;
  private final Timers timers;
  private final Map<Endpoint, Deque<Idle>> idle = new HashMap<>();
  private long opened;
  private long reused;
  private long foundClosed;
  private long restedTooLong;

  private record Idle(IOSession session, long untilNanos) {}

  /**
   * Creates a client.
   *
   * @param reactor runs the connections
   * @param timers holds the guard
   */
  public HttpClient(HttpReactor reactor, Timers timers) {
    this.reactor = reactor;
    this.timers = timers;
  }

  /**
   * Sends a request.
   *
   * @param endpoint where to
   * @param request its head, without the headers that frame the body
   * @param body its body
   * @param listener told of the answer
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Endpoint endpoint, HttpRequest request, byte[] body, ClientListener listener) {
    ClientExchange exchange =
        new ClientExchange(timers.guard(), request, body, listener, this, endpoint);
    IOSession session = takeIdle(endpoint);
    if (session == null) {
      opened++;
      reactor.connect(endpoint, CONNECT_MILLIS, new Connected(exchange));
    } else {
      start(exchange, session);
    }
    return exchange;
  }

  /**
   * What connections were opened and used again since the start, for a line of the log.
   *
   * @return {@code key=count} pairs
   */
  public String summary() {
    return "opened="
        + opened
        + " reused="
        + reused
        + " found_closed="
        + foundClosed
        + " rested_too_long="
        + restedTooLong;
  }

  /**
   * Tells whether a connection rests that can be used again.
   *
   * @param endpoint the address
   * @return true when there is one
   */
  public boolean hasRested(Endpoint endpoint) {
    Deque<Idle> connections = idle.get(endpoint);
    Idle last = connections == null ? null : connections.peekLast();
    return last != null && last.session().isOpen() && System.nanoTime() < last.untilNanos();
  }

  private IOSession takeIdle(Endpoint endpoint) {
    Deque<Idle> connections = idle.get(endpoint);
    while (connections != null && !connections.isEmpty()) {
      Idle candidate = connections.pollLast();
      IOSession session = candidate.session();
      boolean open = session.isOpen();
      if (open && System.nanoTime() < candidate.untilNanos()) {
        reused++;
        return session;
      }
      foundClosed += open ? 0 : 1;
      restedTooLong += open ? 1 : 0;
      session.close(CloseMode.IMMEDIATE);
    }
    return null;
  }

  void keep(Endpoint endpoint, IOSession session, long keepMillis) {
    long millis = keepMillis < 0 ? DEFAULT_KEEP_MILLIS : keepMillis;
    long until = System.nanoTime() + millis * 1_000_000L;
    idle.computeIfAbsent(endpoint, key -> new ArrayDeque<>()).addLast(new Idle(session, until));
  }

  /**
   * Closes the connections to an address that rest, since one gave no answer in its time: open
   * connections may go silent together, without a reset, while new ones work.
   *
   * @param endpoint the address
   */
  public void distrust(Endpoint endpoint) {
    Deque<Idle> connections = idle.remove(endpoint);
    if (connections != null) {
      connections.forEach(connection -> connection.session().close(CloseMode.IMMEDIATE));
    }
  }

  /** Closes connections whose time to rest has passed, and forgets addresses without any. */
  public void closeExpired() {
    long now = System.nanoTime();
    for (Deque<Idle> connections : idle.values()) {
      connections.removeIf(connection -> expired(connection, now));
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private boolean expired(Idle connection, long now) {
    boolean open = connection.session().isOpen();
    boolean over = !open || now >= connection.untilNanos();
    if (over) {
      foundClosed += open ? 0 : 1;
      restedTooLong += open ? 1 : 0;
      connection.session().close(CloseMode.IMMEDIATE);
    }
    return over;
  }

  private static void start(ClientExchange exchange, IOSession session) {
    exchange.attach(session);
    session.enqueue(
        new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
  }

  /** Takes the outcome of a connection attempt. */
  private final class Connected implements FutureCallback<IOSession> {
    private final ClientExchange exchange;

    Connected(ClientExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void completed(IOSession session) {
      synchronized (timers.guard()) {
        if (exchange.isOver()) {
          session.close(CloseMode.IMMEDIATE);
        } else {
          start(exchange, session);
        }
      }
    }

    @Override
    public void failed(Exception cause) {
      boolean refused = cause instanceof ConnectException;
      exchange.notSent(
          refused ? ClientListener.Failure.REFUSED : ClientListener.Failure.UNREACHABLE, cause);
    }

    @Override
    public void cancelled() {
      exchange.notSent(
          ClientListener.Failure.UNREACHABLE, new ConnectException("The attempt was cancelled."));
    }
  }
}
