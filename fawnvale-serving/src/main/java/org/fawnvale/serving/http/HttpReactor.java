package org.fawnvale.serving.http;

import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.ResponseConnControl;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Settings;

/**
 * HttpCore's non-blocking reactor. Server and client connections share one dispatch thread. When
 * that thread or the one that accepts connections ends before {@link #stop}, its handler of
 * uncaught exceptions is told, whatever ended it.
 */
public final class HttpReactor {

  private static final int BACKLOG = 512;
  private static final int BUFFER_BYTES = 4096;

  /**
   * The bytes of a message's body that are read before its handler decides how many more may be:
   * one buffer, since many messages may begin at once.
   */
  private static final int INITIAL_WINDOW_BYTES = BUFFER_BYTES;

  /** The most headers of an answer, or of its trailer: sound answers have some ten. */
  private static final int MAX_ANSWER_HEADERS = 256;

  /** No limit in the library, where the limits of the configuration hold. */
  private static final int UNLIMITED = -1;

  /** The most open connections at all other ports together: the daemons of a large system. */
  private static final int MAX_INTERNAL_CONNECTIONS = 600;

  /** What this daemon's peers add to the head of a request that they forward, in bytes, at most. */
  private static final int FORWARDED_HEAD_BYTES = 4 << 10;

  private final DefaultListeningIOReactor reactor;
  private final Http1Config config;
  private final Http1Config clientConfig;
  private final RequestLimits limits = new RequestLimits();
  private final RequestLimits internalLimits = new RequestLimits();
  private final CallerConnections internalConnections;
  private volatile boolean stopped;
  private final HttpProcessor clientProcessor =
      HttpProcessorBuilder.create().add(new RequestContent()).build();
  private final HttpProcessor serverProcessor =
      HttpProcessorBuilder.create()
          .add(new ResponseContent())
          .add(new ResponseConnControl())
          .build();

  /** Created with the first log line: a daemon listens for callers before logging is configured. */
  private static final class Log {
    static final Logger LOG = LogManager.getLogger("http");
  }

  /** Attachment of the sessions that this daemon opens. */
  private enum Outbound {
    CLIENT
  }

  /**
   * Attachment of a listening endpoint: creates the handlers of its requests, and bounds these and
   * its connections.
   */
  private record Inbound(
      Supplier<AsyncServerExchangeHandler> handlers,
      RequestLimits limits,
      CallerConnections connections) {}

  private HttpReactor(int maxHeaderBytes, CallerMemory memory) {
    internalConnections = new CallerConnections(MAX_INTERNAL_CONNECTIONS, memory);
    updateLimits(maxHeaderBytes, 0, 0);
    config =
        Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setChunkSizeHint(BUFFER_BYTES)
            .setMaxLineLength(UNLIMITED)
            .setMaxHeaderCount(UNLIMITED)
            .setInitialWindowSize(INITIAL_WINDOW_BYTES)
            .build();
    clientConfig =
        Http1Config.copy(config)
            .setMaxLineLength(maxHeaderBytes)
            .setMaxHeaderCount(MAX_ANSWER_HEADERS)
            .build();
    IOReactorConfig reactorConfig =
        IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setBacklogSize(BACKLOG)
            .setTcpNoDelay(true)
            .setSoReuseAddress(true)
            .setSelectInterval(TimeValue.ofSeconds(1))
            .build();
    reactor =
        new DefaultListeningIOReactor(
            this::handler,
            reactorConfig,
            task -> thread(task, "dispatch"),
            task -> thread(task, "accept"),
            null,
            HttpReactor::failed,
            null,
            null);
  }

  /**
   * Starts a reactor.
   *
   * @param maxHeaderBytes the maximum length of an answer's head, and of any line, in bytes; also
   *     that of a request's until {@link #updateLimits}
   * @return the running reactor
   */
  public static HttpReactor start(int maxHeaderBytes) {
    return start(maxHeaderBytes, new CallerMemory(Settings.CallerBuffers.DEFAULT));
  }

  /**
   * Starts a reactor.
   *
   * @param maxHeaderBytes the maximum length of an answer's head, and of any line, in bytes; also
   *     that of a request's until {@link #updateLimits}
   * @param memory the account of what callers hold
   * @return the running reactor
   */
  public static HttpReactor start(int maxHeaderBytes, CallerMemory memory) {
    HttpReactor reactor = new HttpReactor(maxHeaderBytes, memory);
    reactor.reactor.start();
    return reactor;
  }

  /**
   * Sets the limits of callers' requests. Other daemons forward such requests with headers of their
   * own, and open connections rest between them for as long as they like.
   *
   * @param maxHeaderBytes the longest head of a request, in bytes
   * @param headerMillis the longest time from a head's first byte to its end, in milliseconds; 0
   *     for no limit
   * @param idleMillis the longest time without a byte from the caller, in milliseconds; 0 for no
   *     limit
   */
  public void updateLimits(int maxHeaderBytes, int headerMillis, int idleMillis) {
    long now = System.nanoTime();
    limits.update(maxHeaderBytes, headerMillis, idleMillis, now);
    int forwardedBytes =
        Math.max(RequestLimits.DEFAULT_HEADER_BYTES, maxHeaderBytes + FORWARDED_HEAD_BYTES);
    internalLimits.update(forwardedBytes, 0, 0, now);
  }

  private Thread thread(Runnable task, String name) {
    return new Thread(
        () -> {
          task.run();
          if (!stopped) {
            throw new IllegalStateException("The thread has ended, though it serves connections.");
          }
        },
        name);
  }

  private static void failed(Exception cause) {
    Log.LOG.error("The handler of a connection failed; the connection is closed.", cause);
  }

  private IOEventHandler handler(ProtocolIOSession session, Object attachment) {
    if (attachment instanceof Inbound inbound) {
      return inbound.connections().admits()
          ? serverConnection(session, inbound)
          : new RejectedConnection();
    }
    return clientConnection(session);
  }

  private ClientConnection clientConnection(ProtocolIOSession session) {
    InputLimit inputLimit = InputLimit.ofAnswers();
    AnswerParser answers = new AnswerParser(clientConfig, inputLimit);
    AnswerDuplexer duplexer =
        new AnswerDuplexer(
            new SuspendableSession(session, inputLimit), clientProcessor, clientConfig, answers);
    return new ClientConnection(duplexer, inputLimit, answers);
  }

  private ServerConnection serverConnection(ProtocolIOSession session, Inbound inbound) {
    ServerConnection.Parts parts =
        ServerConnection.Parts.of(session, inbound.handlers(), inbound.limits());
    CallerDuplexer duplexer =
        CallerDuplexer.create(
            new SuspendableSession(
                session,
                parts.inputLimit(),
                () -> parts.gate().isFull() || !inbound.connections().mayReceive()),
            serverProcessor,
            parts.exchanges(),
            config,
            parts.limits(),
            parts.gate(),
            parts.memory());
    return new ServerConnection(duplexer, parts, inbound.connections());
  }

  /**
   * Binds an address and accepts connections of other daemons and of the platform there.
   *
   * @param endpoint the address
   * @param handlers creates the handler of each request
   * @return the listening endpoint
   * @throws IllegalStateException if the address can't be bound
   */
  public ListenerEndpoint listen(Endpoint endpoint, Supplier<AsyncServerExchangeHandler> handlers) {
    return listen(endpoint, new Inbound(handlers, internalLimits, internalConnections));
  }

  /**
   * Binds an address and accepts connections of callers there.
   *
   * @param endpoint the address
   * @param handlers creates the handler of each request
   * @param connections bounds the connections
   * @return the listening endpoint
   * @throws IllegalStateException if the address can't be bound
   */
  public ListenerEndpoint listen(
      Endpoint endpoint,
      Supplier<AsyncServerExchangeHandler> handlers,
      CallerConnections connections) {
    return listen(endpoint, new Inbound(handlers, limits, connections));
  }

  private ListenerEndpoint listen(Endpoint endpoint, Inbound inbound) {
    try {
      InetSocketAddress address = new InetSocketAddress(endpoint.host(), endpoint.port());
      return reactor.listen(address, inbound, null).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(
          "Cannot listen at " + endpoint + "; free the port or change the settings.", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("Interrupted while binding " + endpoint + ".", e);
    }
  }

  /**
   * Opens a connection.
   *
   * @param endpoint the address
   * @param timeoutMillis the connect timeout in milliseconds; checked once a second
   * @param callback receives the session or the failure
   * @return the attempt, which can be cancelled
   */
  public Future<IOSession> connect(
      Endpoint endpoint, long timeoutMillis, FutureCallback<IOSession> callback) {
    NamedEndpoint name = new NamedAddress(endpoint.host(), endpoint.port());
    InetSocketAddress address = new InetSocketAddress(endpoint.host(), endpoint.port());
    return reactor.connect(
        name, address, null, Timeout.ofMilliseconds(timeoutMillis), Outbound.CLIENT, callback);
  }

  /** Closes all connections immediately. */
  public void stop() {
    stopped = true;
    reactor.close(CloseMode.IMMEDIATE);
  }

  private record NamedAddress(String host, int port) implements NamedEndpoint {
    @Override
    public String getHostName() {
      return host;
    }

    @Override
    public int getPort() {
      return port;
    }
  }
}
