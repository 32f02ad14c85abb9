package org.fawnvale.serving.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.fawnvale.serving.core.model.Endpoint;
import org.jspecify.annotations.Nullable;

/** HTTP client with a pool of idle connections. A connection carries one request at a time. */
public final class HttpClient {

  /**
   * Connect timeout in milliseconds. Short, so that a request to an unreachable upstream can soon
   * be sent to another one, but long enough that a daemon short of processor time does not take a
   * reachable upstream for unreachable: 120 ms were too short for a daemon that had connections
   * established but no time to process them.
   */
  private static final long CONNECT_TIMEOUT_MILLIS = 300;

  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 20_000;

  /**
   * Keep-alive of a connection that has carried no request, in milliseconds: less than the shortest
   * keep-alive that upstreams announce, 3 s.
   */
  private static final long UNUSED_KEEP_ALIVE_MILLIS = 2_000;

  private final Connector connector;
  private final Timers timers;
  private final Map<Endpoint, Deque<Idle>> idle = new HashMap<>();
  private long opened;
  private long reused;
  private long foundClosed;
  private long idleExpired;

  private record Idle(IOSession session, long expiresAtNanos) {

    boolean isUsed() {
      ClientConnection connection = ClientConnection.of(session);
      return connection != null && connection.isUsed();
    }
  }

  /** Opens connections asynchronously. */
  @FunctionalInterface
  interface Connector {

    /**
     * Opens a connection.
     *
     * @param endpoint the address
     * @param timeoutMillis the connect timeout in milliseconds; the attempt may outlast it
     * @param callback receives the session or the failure
     * @return the attempt, which can be cancelled
     */
    Future<IOSession> connect(
        Endpoint endpoint, long timeoutMillis, FutureCallback<IOSession> callback);
  }

  /**
   * Creates a client.
   *
   * @param reactor runs the connections
   * @param timers supplies the daemon's lock, and runs the connect timeouts
   */
  public HttpClient(HttpReactor reactor, Timers timers) {
    this(reactor::connect, timers);
  }

  HttpClient(Connector connector, Timers timers) {
    this.connector = connector;
    this.timers = timers;
  }

  /**
   * Sends a request.
   *
   * @param endpoint the address to send to
   * @param request the request line and headers, without Content-Length or Transfer-Encoding
   * @param body the body; may be empty
   * @param listener receives the response
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Endpoint endpoint, HttpRequest request, byte[] body, ClientListener listener) {
    return send(endpoint, request, body, () -> true, listener);
  }

  /**
   * Sends a request if it is still permitted when its connection is ready.
   *
   * @param endpoint the address to send to
   * @param request the request line and headers, without Content-Length or Transfer-Encoding
   * @param body the body; may be empty
   * @param mayWrite called just before the request is written; on false the request fails with
   *     {@link ClientListener.Failure#HELD}
   * @param listener receives the response
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Endpoint endpoint,
      HttpRequest request,
      byte[] body,
      BooleanSupplier mayWrite,
      ClientListener listener) {
    ClientExchange exchange =
        new ClientExchange(timers.lock(), request, body, listener, this, endpoint, false);
    send(exchange, takeIdle(endpoint), endpoint, mayWrite);
    return exchange;
  }

  /**
   * Sends a request on a connection that carries no other one, before or after. So the answer there
   * is certainly the one to this request, although nothing in it tells.
   *
   * @param endpoint the address to send to
   * @param request the request line and headers, without Content-Length or Transfer-Encoding
   * @param body the body; may be empty
   * @param mayWrite called just before the request is written; on false the request fails with
   *     {@link ClientListener.Failure#HELD}
   * @param listener receives the response
   * @return the exchange, which can be cancelled
   */
  public ClientExchange sendAlone(
      Endpoint endpoint,
      HttpRequest request,
      byte[] body,
      BooleanSupplier mayWrite,
      ClientListener listener) {
    ClientExchange exchange =
        new ClientExchange(timers.lock(), request, body, listener, this, endpoint, true);
    send(exchange, takeUnused(endpoint), endpoint, mayWrite);
    return exchange;
  }

  private void send(
      ClientExchange exchange,
      @Nullable IOSession session,
      Endpoint endpoint,
      BooleanSupplier mayWrite) {
    if (session == null) {
      opened++;
      new ConnectAttempt(exchange, endpoint, mayWrite).begin();
    } else {
      start(exchange, session, endpoint, mayWrite);
    }
  }

  /**
   * Returns the numbers of connections opened, reused and discarded since the start, for the log.
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
        + idleExpired;
  }

  /**
   * Returns whether an idle connection to an address can be reused.
   *
   * @param endpoint the address
   * @return true if there is one
   */
  public boolean hasIdle(Endpoint endpoint) {
    Deque<Idle> connections = idle.get(endpoint);
    Idle last = connections == null ? null : connections.peekLast();
    return last != null && last.session().isOpen() && System.nanoTime() < last.expiresAtNanos();
  }

  /** The result of an attempt to connect to an address. */
  public enum ProbeResult {
    /** A process listens there; the connection was added to the idle ones. */
    LISTENING,
    /** The connection was refused: no process listens there. */
    REFUSED,
    /** The attempt timed out or failed for another reason. */
    UNKNOWN
  }

  /**
   * Checks whether a process listens at an address by opening a connection.
   *
   * @param endpoint the address
   * @param callback called once, with the daemon's lock held
   */
  public void probe(Endpoint endpoint, Consumer<ProbeResult> callback) {
    probe(endpoint, CONNECT_TIMEOUT_MILLIS, callback);
  }

  /**
   * Checks within a given time whether a process listens at an address.
   *
   * @param endpoint the address
   * @param timeoutMillis how long the connection may take to open, in milliseconds
   * @param callback called once, with the daemon's lock held
   */
  public void probe(Endpoint endpoint, long timeoutMillis, Consumer<ProbeResult> callback) {
    opened++;
    new Probe(endpoint, timeoutMillis, callback).begin();
  }

  /** One attempt to open a connection on which no request is sent. */
  private final class Probe implements FutureCallback<IOSession> {
    private final Endpoint endpoint;
    private final long timeoutMillis;
    private final Consumer<ProbeResult> callback;
    private final ConnectTimer timer;
    private @Nullable Future<IOSession> attempt;
    private boolean over;

    Probe(Endpoint endpoint, long timeoutMillis, Consumer<ProbeResult> callback) {
      this.endpoint = endpoint;
      this.timeoutMillis = timeoutMillis;
      this.callback = callback;
      this.timer = new ConnectTimer(timers, timeoutMillis, this::onTimeout);
    }

    void begin() {
      attempt = connector.connect(endpoint, timeoutMillis, this);
      timer.start();
    }

    private void onTimeout() {
      end(ProbeResult.UNKNOWN);
      Future<IOSession> running = attempt;
      if (running != null) {
        running.cancel(true);
      }
    }

    private void end(ProbeResult result) {
      if (!over) {
        over = true;
        timer.end();
        callback.accept(result);
      }
    }

    @Override
    public void completed(IOSession session) {
      synchronized (timers.lock()) {
        if (over) {
          session.close(CloseMode.IMMEDIATE);
        } else {
          addIdle(endpoint, session, UNUSED_KEEP_ALIVE_MILLIS);
          end(ProbeResult.LISTENING);
        }
      }
    }

    @Override
    public void failed(Exception cause) {
      synchronized (timers.lock()) {
        end(cause instanceof ConnectException ? ProbeResult.REFUSED : ProbeResult.UNKNOWN);
      }
    }

    @Override
    public void cancelled() {
      synchronized (timers.lock()) {
        end(ProbeResult.UNKNOWN);
      }
    }
  }

  private @Nullable IOSession takeIdle(Endpoint endpoint) {
    return takeIdle(endpoint, connection -> true);
  }

  private @Nullable IOSession takeUnused(Endpoint endpoint) {
    return takeIdle(endpoint, connection -> !connection.isUsed());
  }

  /** Takes the connection that became idle last, of those that meet a condition. */
  private @Nullable IOSession takeIdle(Endpoint endpoint, Predicate<Idle> condition) {
    Deque<Idle> connections = idle.get(endpoint);
    if (connections == null) {
      return null;
    }
    long now = System.nanoTime();
    connections.removeIf(connection -> closeIfExpired(connection, now));
    Iterator<Idle> lastFirst = connections.descendingIterator();
    while (lastFirst.hasNext()) {
      Idle candidate = lastFirst.next();
      if (condition.test(candidate)) {
        lastFirst.remove();
        reused++;
        return candidate.session();
      }
    }
    return null;
  }

  void addIdle(Endpoint endpoint, IOSession session, long keepAliveMillis) {
    long millis = keepAliveMillis < 0 ? DEFAULT_KEEP_ALIVE_MILLIS : keepAliveMillis;
    long expiresAt = System.nanoTime() + millis * 1_000_000L;
    idle.computeIfAbsent(endpoint, key -> new ArrayDeque<>()).addLast(new Idle(session, expiresAt));
  }

  /**
   * Closes the idle connections to an address after a request there timed out: a network fault may
   * break all open connections at once without a reset, while new ones work.
   *
   * @param endpoint the address
   */
  public void closeIdle(Endpoint endpoint) {
    Deque<Idle> connections = idle.remove(endpoint);
    if (connections != null) {
      connections.forEach(connection -> connection.session().close(CloseMode.IMMEDIATE));
    }
  }

  /** Closes expired idle connections, and drops the entries of addresses that have none left. */
  public void closeExpired() {
    long now = System.nanoTime();
    for (Deque<Idle> connections : idle.values()) {
      connections.removeIf(connection -> closeIfExpired(connection, now));
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private boolean closeIfExpired(Idle connection, long now) {
    boolean open = connection.session().isOpen();
    boolean over = !open || now >= connection.expiresAtNanos();
    if (over) {
      foundClosed += open ? 0 : 1;
      idleExpired += open ? 1 : 0;
      connection.session().close(CloseMode.IMMEDIATE);
    }
    return over;
  }

  private void start(
      ClientExchange exchange, IOSession session, Endpoint endpoint, BooleanSupplier mayWrite) {
    if (!mayWrite.getAsBoolean()) {
      addIdle(endpoint, session, UNUSED_KEEP_ALIVE_MILLIS);
      exchange.notSent(
          ClientListener.Failure.HELD,
          new IOException("The request was withheld before it was written."));
      return;
    }
    exchange.attach(session);
    session.enqueue(
        new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
  }

  /** One attempt to open a connection for a request. */
  private final class ConnectAttempt implements FutureCallback<IOSession> {
    private final ClientExchange exchange;
    private final Endpoint endpoint;
    private final BooleanSupplier mayWrite;
    private final ConnectTimer timer =
        new ConnectTimer(timers, CONNECT_TIMEOUT_MILLIS, this::onTimeout);
    private @Nullable Future<IOSession> attempt;

    ConnectAttempt(ClientExchange exchange, Endpoint endpoint, BooleanSupplier mayWrite) {
      this.exchange = exchange;
      this.endpoint = endpoint;
      this.mayWrite = mayWrite;
    }

    void begin() {
      attempt = connector.connect(endpoint, CONNECT_TIMEOUT_MILLIS, this);
      timer.start();
    }

    private void onTimeout() {
      Future<IOSession> running = attempt;
      if (running != null) {
        fail(new SocketTimeoutException("No connection within " + CONNECT_TIMEOUT_MILLIS + " ms."));
        running.cancel(true);
      }
    }

    private void fail(Exception cause) {
      timer.end();
      boolean refused = cause instanceof ConnectException;
      exchange.notSent(
          refused ? ClientListener.Failure.REFUSED : ClientListener.Failure.UNREACHABLE, cause);
    }

    @Override
    public void completed(IOSession session) {
      synchronized (timers.lock()) {
        timer.end();
        if (exchange.isOver()) {
          session.close(CloseMode.IMMEDIATE);
        } else {
          start(exchange, session, endpoint, mayWrite);
        }
      }
    }

    @Override
    public void failed(Exception cause) {
      synchronized (timers.lock()) {
        fail(cause);
      }
    }

    @Override
    public void cancelled() {
      synchronized (timers.lock()) {
        fail(new SocketTimeoutException("The connection attempt was cancelled."));
      }
    }
  }
}
