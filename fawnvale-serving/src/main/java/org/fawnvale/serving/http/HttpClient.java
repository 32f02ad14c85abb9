package org.fawnvale.serving.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.fawnvale.serving.core.model.Endpoint;
import org.jspecify.annotations.Nullable;

/** Sends requests over kept connections, one request at a time on each. */
public final class HttpClient {

  /**
   * How long a connection may take to open, in milliseconds. Data centres are milliseconds apart; a
   * machine behind a cut says nothing, and the request is better off elsewhere. With 120 a daemon
   * that was itself short of processor time gave up connections that had come up
   * (StartupRequestQueueTest beside a load of 20 on 8 cores), and held the upstream to be gone.
   */
  private static final long CONNECT_MILLIS = 300;

  /** A timer that comes later than this shows that the daemon itself is late, in nanoseconds. */
  private static final long OWN_DELAY_NANOS = 50_000_000L;

  private static final long DEFAULT_KEEP_MILLIS = 20_000;

  /** Upstreams that say how long a connection may rest say 3 s at least. */
  private static final long LOOKED_KEEP_MILLIS = 2_000;

  private final Connector connector;
  private final Timers timers;
  private final Map<Endpoint, Deque<Idle>> idle = new HashMap<>();
  private long opened;
  private long reused;
  private long foundClosed;
  private long restedTooLong;

  private record Idle(IOSession session, long untilNanos) {}

  /** Opens connections. */
  @FunctionalInterface
  interface Connector {

    /**
     * Opens a connection.
     *
     * @param endpoint the address
     * @param timeoutMillis how long it may take, in milliseconds; the attempt may outlast it
     * @param callback told of the session, or of the failure
     * @return the attempt, which can be cancelled
     */
    Future<IOSession> connect(
        Endpoint endpoint, long timeoutMillis, FutureCallback<IOSession> callback);
  }

  /**
   * Creates a client.
   *
   * @param reactor runs the connections
   * @param timers holds the guard
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
   * @param endpoint where to
   * @param request its head, without the headers that frame the body
   * @param body its body
   * @param listener told of the answer
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Endpoint endpoint, HttpRequest request, byte[] body, ClientListener listener) {
    return send(endpoint, request, body, () -> true, listener);
  }

  /**
   * Sends a request, unless it is not to be sent any more when its connection is there.
   *
   * @param endpoint where to
   * @param request its head, without the headers that frame the body
   * @param body its body
   * @param mayWrite asked just before the request is written; false holds it back
   * @param listener told of the answer
   * @return the exchange, which can be cancelled
   */
  public ClientExchange send(
      Endpoint endpoint,
      HttpRequest request,
      byte[] body,
      BooleanSupplier mayWrite,
      ClientListener listener) {
    ClientExchange exchange =
        new ClientExchange(timers.lock(), request, body, listener, this, endpoint);
    IOSession session = takeIdle(endpoint);
    if (session == null) {
      opened++;
      new Connecting(exchange, endpoint, mayWrite).begin();
    } else {
      start(exchange, session, endpoint, mayWrite);
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
  public boolean hasIdle(Endpoint endpoint) {
    Deque<Idle> connections = idle.get(endpoint);
    Idle last = connections == null ? null : connections.peekLast();
    return last != null && last.session().isOpen() && System.nanoTime() < last.untilNanos();
  }

  /** What an attempt to connect shows of an address. */
  public enum ProbeResult {
    /** A process listens there; the connection rests and can be used. */
    LISTENING,
    /** None does. */
    REFUSED,
    /** Nothing came back in time. */
    UNKNOWN
  }

  /**
   * Finds out whether a process listens at an address, at the cost of one connection.
   *
   * @param endpoint the address
   * @param told told once, while the guard is held
   */
  public void probe(Endpoint endpoint, Consumer<ProbeResult> told) {
    opened++;
    connector.connect(
        endpoint,
        CONNECT_MILLIS,
        new FutureCallback<>() {
          @Override
          public void completed(IOSession session) {
            synchronized (timers.lock()) {
              keep(endpoint, session, LOOKED_KEEP_MILLIS);
              told.accept(ProbeResult.LISTENING);
            }
          }

          @Override
          public void failed(Exception cause) {
            synchronized (timers.lock()) {
              boolean refused = cause instanceof ConnectException;
              told.accept(refused ? ProbeResult.REFUSED : ProbeResult.UNKNOWN);
            }
          }

          @Override
          public void cancelled() {
            synchronized (timers.lock()) {
              told.accept(ProbeResult.UNKNOWN);
            }
          }
        });
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
  public void closeIdle(Endpoint endpoint) {
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

  private void start(
      ClientExchange exchange, IOSession session, Endpoint endpoint, BooleanSupplier mayWrite) {
    if (!mayWrite.getAsBoolean()) {
      keep(endpoint, session, LOOKED_KEEP_MILLIS);
      exchange.notSent(ClientListener.Failure.HELD, new IOException("It may not be sent now."));
      return;
    }
    exchange.attach(session);
    session.enqueue(
        new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
  }

  /**
   * One attempt to open a connection. Its time is held by a timer: the reactor looks at the times
   * of its attempts once a second only, so that 0.3 s became 1.1 s before an upstream that was gone
   * (27 late first events on a day with eight losses).
   */
  private final class Connecting implements FutureCallback<IOSession> {
    private final ClientExchange exchange;
    private final Endpoint endpoint;
    private final BooleanSupplier mayWrite;
    private @Nullable Future<IOSession> attempt;
    private @Nullable ScheduledFuture<?> limit;
    private boolean over;
    private long dueNanos;

    Connecting(ClientExchange exchange, Endpoint endpoint, BooleanSupplier mayWrite) {
      this.exchange = exchange;
      this.endpoint = endpoint;
      this.mayWrite = mayWrite;
    }

    void begin() {
      attempt = connector.connect(endpoint, CONNECT_MILLIS, this);
      setLimit();
    }

    private void setLimit() {
      dueNanos = System.nanoTime() + CONNECT_MILLIS * 1_000_000L;
      limit = timers.after(CONNECT_MILLIS, this::giveUp);
    }

    /** Gives the attempt its time once more where the daemon is too late to tell. */
    private void giveUp() {
      Future<IOSession> running = attempt;
      if (!over && System.nanoTime() - dueNanos > OWN_DELAY_NANOS) {
        setLimit();
      } else if (!over && running != null) {
        notReached(new SocketTimeoutException("No connection within " + CONNECT_MILLIS + " ms."));
        running.cancel(true);
      }
    }

    private void end() {
      over = true;
      ScheduledFuture<?> timer = limit;
      if (timer != null) {
        timer.cancel(false);
      }
    }

    private void notReached(Exception cause) {
      end();
      boolean refused = cause instanceof ConnectException;
      exchange.notSent(
          refused ? ClientListener.Failure.REFUSED : ClientListener.Failure.UNREACHABLE, cause);
    }

    @Override
    public void completed(IOSession session) {
      synchronized (timers.lock()) {
        end();
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
        notReached(cause);
      }
    }

    @Override
    public void cancelled() {
      synchronized (timers.lock()) {
        notReached(new SocketTimeoutException("The attempt was cancelled."));
      }
    }
  }
}
