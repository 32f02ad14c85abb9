package org.fawnvale.serving.http;

import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
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
import org.fawnvale.serving.core.model.Endpoint;
import org.jspecify.annotations.Nullable;

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

  /**
   * The most headers of a request, or of its trailer. Sound requests have some ten, but callers may
   * fill their head with short ones; each takes some hundred bytes of memory.
   */
  private static final int MAX_REQUEST_HEADERS = 1024;

  private final DefaultListeningIOReactor reactor;
  private final Http1Config config;
  private final Http1Config clientConfig;
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
   * Attachment of a listening endpoint: creates the handlers of its requests, and bounds its
   * connections; null where other daemons connect.
   */
  private record Inbound(
      Supplier<AsyncServerExchangeHandler> handlers, @Nullable CallerConnections connections) {}

  private HttpReactor(int maxHeaderBytes) {
    config =
        Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setChunkSizeHint(BUFFER_BYTES)
            .setMaxLineLength(maxHeaderBytes)
            .setMaxHeaderCount(MAX_REQUEST_HEADERS)
            .setInitialWindowSize(INITIAL_WINDOW_BYTES)
            .build();
    clientConfig = Http1Config.copy(config).setMaxHeaderCount(MAX_ANSWER_HEADERS).build();
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
   * @param maxHeaderBytes the maximum length of a message's head, and of any line, in bytes
   * @return the running reactor
   */
  public static HttpReactor start(int maxHeaderBytes) {
    HttpReactor reactor = new HttpReactor(maxHeaderBytes);
    reactor.reactor.start();
    return reactor;
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
      CallerConnections connections = inbound.connections();
      if (connections != null && !connections.admits()) {
        return new RejectedConnection();
      }
      InputLimit inputLimit = InputLimit.ofRequests();
      return ServerConnection.create(
          inbound.handlers(),
          exchanges -> duplexer(session, inputLimit, exchanges),
          inputLimit,
          () -> session.close(CloseMode.IMMEDIATE),
          connections);
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

  private ServerHttp1StreamDuplexer duplexer(
      ProtocolIOSession session,
      InputLimit inputLimit,
      HandlerFactory<AsyncServerExchangeHandler> exchanges) {
    return new CallerDuplexer(
        new SuspendableSession(session, inputLimit), serverProcessor, exchanges, config);
  }

  /**
   * Binds an address and accepts connections there.
   *
   * @param endpoint the address
   * @param handlers creates the handler of each request
   * @return the listening endpoint
   * @throws IllegalStateException if the address can't be bound
   */
  public ListenerEndpoint listen(Endpoint endpoint, Supplier<AsyncServerExchangeHandler> handlers) {
    return listen(endpoint, new Inbound(handlers, null));
  }

  /**
   * Binds an address and accepts a bounded number of connections there.
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
    return listen(endpoint, new Inbound(handlers, connections));
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
