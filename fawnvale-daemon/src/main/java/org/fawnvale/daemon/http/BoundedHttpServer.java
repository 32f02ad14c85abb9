package org.fawnvale.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.HttpConnectionFactory;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.http.CheckedChunks;
import org.fawnvale.http.CompleteHeads;
import org.fawnvale.http.CompleteInput;
import org.fawnvale.http.core.HeadCheck;
import org.fawnvale.kernel.ServiceException;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.model.Settings;
import org.jspecify.annotations.Nullable;

/** An HTTP server with limits on connections, headers and idle time. */
public final class BoundedHttpServer {

  private static final Logger LOG = LogManager.getLogger("http");

  private static final int IDLE_SECONDS = 60;
  private static final int MAXIMUM_HEADERS = 100;
  private static final int MAXIMUM_LINE_BYTES = 16 * 1024;

  /**
   * Bounds the wait at a stop for responses to be sent, since a caller may have stopped reading.
   */
  private static final long FLUSH_TIMEOUT_MILLIS = 2_000;

  /** How long a connection must have had no whole request before it makes room for a new one. */
  private static final long MIN_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The account of all that callers and operators make this process hold. */
  private static final CallerMemory MEMORY =
      new CallerMemory(Settings.CallerBuffers.ofHeap(Runtime.getRuntime().maxMemory()));

  private final String name;
  private final DaemonSettings.Listener listener;
  private final int maximumConnections;
  private final HttpRequestHandler handler;
  private final Set<CallerHolding> holdings = ConcurrentHashMap.newKeySet();
  private final PendingResponses pendingResponses = new PendingResponses();
  private @Nullable HttpServer server;

  /**
   * Creates a server.
   *
   * @param name the listener's name in the settings
   * @param listener where to listen
   * @param maximumConnections maximum number of open connections; for a further one another that
   *     has no whole request is closed, or else that one
   * @param handler handles all requests
   */
  public BoundedHttpServer(
      String name,
      DaemonSettings.Listener listener,
      int maximumConnections,
      HttpRequestHandler handler) {
    this.name = name;
    this.listener = listener;
    this.maximumConnections = maximumConnections;
    this.handler = handler;
  }

  /**
   * Starts listening.
   *
   * @throws ServiceException when the port or the certificate cannot be used
   */
  public void start() throws ServiceException {
    SSLContext tls = Certificates.context(name, listener);
    Http1Config config =
        Http1Config.custom()
            .setMaxHeaderCount(MAXIMUM_HEADERS)
            .setMaxLineLength(MAXIMUM_LINE_BYTES)
            .build();
    SocketConfig socket =
        SocketConfig.custom()
            .setSoTimeout(Timeout.of(IDLE_SECONDS, TimeUnit.SECONDS))
            .setTcpNoDelay(true)
            .setSoReuseAddress(true)
            .setBacklogSize(1024)
            .build();
    try {
      ServerBootstrap bootstrap =
          ServerBootstrap.bootstrap()
              .setLocalAddress(InetAddress.getByName(listener.address()))
              .setCanonicalHostName(listener.address())
              .setListenerPort(listener.port())
              .setSocketConfig(socket)
              .setConnectionFactory(new LimitedConnectionFactory(config))
              .setRequestRouter((request, context) -> handler);
      if (tls != null) {
        bootstrap.setSslContext(tls);
      }
      server = bootstrap.create();
      server.start();
    } catch (IOException e) {
      throw new ServiceException(
          "Cannot listen on "
              + listener.address()
              + ":"
              + listener.port()
              + "; free the port or change "
              + name
              + ".port.",
          e);
    }
  }

  /**
   * Returns the port that the server listens on, which the system chooses if the settings specify
   * 0.
   *
   * @return the port; 0 before the start
   */
  public int port() {
    HttpServer running = server;
    return running == null ? 0 : running.getLocalPort();
  }

  /**
   * Stops the server after pending responses have been sent, or after a timeout. Waiting for the
   * handlers would not suffice: a handler returns before the server has sent the last bytes.
   */
  public void stop() {
    HttpServer running = server;
    if (running != null) {
      pendingResponses.awaitPending(FLUSH_TIMEOUT_MILLIS);
      running.close(CloseMode.IMMEDIATE);
    }
  }

  /** Creates connections up to the maximum number; closes further sockets. */
  private final class LimitedConnectionFactory
      implements HttpConnectionFactory<DefaultBHttpServerConnection> {

    private final Http1Config config;

    LimitedConnectionFactory(Http1Config config) {
      this.config = config;
    }

    @Override
    public DefaultBHttpServerConnection createConnection(Socket socket) throws IOException {
      if (holdings.size() >= maximumConnections && !closeOne()) {
        socket.close();
        throw new IOException("The maximum number of connections is open.");
      }
      ConnectionAccount account = new ConnectionAccount(MEMORY, () -> closeQuietly(socket));
      holdings.add(account.holding());
      CountedConnection connection = new CountedConnection(config, account);
      connection.bind(socket);
      return connection;
    }

    private boolean closeOne() {
      CallerHolding first = MEMORY.firstToGiveWay(holdings, System.nanoTime(), MIN_AGE_NANOS);
      return first != null && holdings.remove(first) && first.closeUnlessServed();
    }

    private static void closeQuietly(Socket socket) {
      try {
        socket.close();
      } catch (IOException e) {
        LOG.debug("A caller's connection could not be closed: {}.", e.toString());
      }
    }
  }

  private final class CountedConnection extends DefaultBHttpServerConnection {

    private final ConnectionAccount account;
    private boolean finalResponse;

    CountedConnection(Http1Config config, ConnectionAccount account) {
      super(
          listener.certificateFile() == null ? "http" : "https",
          config,
          null,
          null,
          null,
          null,
          CompleteHeads.factory(
              ignored ->
                  new CountedHeads(new DefaultHttpRequestParserFactory(config).create(), account),
              HeadCheck::ofRequests),
          null);
      this.account = account;
    }

    @Override
    protected InputStream createContentInputStream(
        long length, SessionInputBuffer buffer, InputStream input) {
      return account.counted(
          super.createContentInputStream(
              length, CheckedChunks.ofBody(length, buffer), CompleteInput.ofBody(length, input)));
    }

    @Override
    public @Nullable ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
      ClassicHttpRequest request = super.receiveRequestHeader();
      if (request != null) {
        if (!hasBody(request)) {
          account.begin();
        }
        finalResponse = false;
        pendingResponses.begin(this);
      }
      return request;
    }

    private static boolean hasBody(ClassicHttpRequest request) {
      return request.containsHeader(HttpHeaders.CONTENT_LENGTH)
          || request.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    }

    @Override
    public void sendResponseHeader(ClassicHttpResponse response) throws HttpException, IOException {
      finalResponse = response.getCode() >= HttpStatus.SC_SUCCESS;
      super.sendResponseHeader(response);
    }

    /**
     * Sends the body. The library ends it with its last chunk also when it is broken off, which
     * would tell the caller that it is whole; so the connection is closed before.
     */
    @Override
    public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
      HttpEntity entity = response.getEntity();
      if (entity != null) {
        response.setEntity(new ClosingEntity(entity, () -> close(CloseMode.IMMEDIATE)));
      }
      super.sendResponseEntity(response);
    }

    /** Called by the server after it has written a complete response. */
    @Override
    public void flush() throws IOException {
      super.flush();
      if (finalResponse) {
        account.end();
        pendingResponses.end(this);
      }
    }

    @Override
    public void close() throws IOException {
      releaseSlot();
      super.close();
      pendingResponses.end(this);
    }

    @Override
    public void close(CloseMode mode) {
      releaseSlot();
      super.close(mode);
      pendingResponses.end(this);
    }

    private void releaseSlot() {
      holdings.remove(account.holding());
      account.close();
    }
  }
}
