package org.fawnvale.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpResponseInterceptor;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnectionFactory;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.URIBuilder;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server of a stand-in. It accepts requests with any Host header. When a handler throws an
 * exception, the server closes the connection without a response.
 */
final class StandInServer implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger("stand-in");

  /** Marks a response inside the server; it is not sent. */
  private static final String UNFRAMED_MARK = "Stand-In-Unframed";

  private static final int MAX_CLOSE_CHECKS = 1_000;
  private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

  /** Handles calls. */
  @FunctionalInterface
  interface Handler {
    Reply handle(Call call) throws IOException;
  }

  /** The open connections by the caller's address, so that a handler can reset its connection. */
  private static final class Connections extends DefaultBHttpServerConnectionFactory {
    private final Map<SocketAddress, AcceptedConnection> open = new ConcurrentHashMap<>();
    private final WorkerCuts cuts;
    private boolean accepts = true;

    Connections(WorkerCuts cuts) {
      super("http", null, null);
      this.cuts = cuts;
    }

    @Override
    public DefaultBHttpServerConnection createConnection(Socket socket) throws IOException {
      awaitAccepting();
      open.values().removeIf(AcceptedConnection::isClosed);
      AcceptedConnection accepted = new AcceptedConnection(socket);
      open.put(socket.getRemoteSocketAddress(), accepted);
      Receiver connection = new Receiver(() -> refuseIfCut(accepted), accepted::sendKept);
      connection.bind(socket);
      return connection;
    }

    private void refuseIfCut(AcceptedConnection accepted) throws IOException {
      if (cuts.of(accepted) == WorkerCuts.Cut.REFUSED_NEW) {
        accepted.reset();
      }
    }

    /** Returns the open connection of a caller. */
    AcceptedConnection of(SocketAddress caller) throws IOException {
      AcceptedConnection accepted = open.get(caller);
      if (accepted == null) {
        throw new IOException("the connection is closed");
      }
      return accepted;
    }

    /** Keeps the thread that accepts connections from accepting further ones. */
    synchronized void stopAccepting() {
      accepts = false;
    }

    private synchronized void awaitAccepting() throws IOException {
      try {
        while (!accepts) {
          wait();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
    }
  }

  /**
   * Runs a step before the first request of a connection and another one behind the head of each.
   * The thread that accepts connections can't, since a check may take as long as many connections.
   */
  private static final class Receiver extends DefaultBHttpServerConnection {
    private @Nullable Step first;
    private final Step behindHead;

    Receiver(Step first, Step behindHead) {
      super("http", Http1Config.DEFAULT);
      this.first = first;
      this.behindHead = behindHead;
    }

    @Override
    public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
      Step step = first;
      first = null;
      if (step != null) {
        step.run();
      }
      ClassicHttpRequest request = super.receiveRequestHeader();
      if (request != null) {
        behindHead.run();
      }
      return request;
    }
  }

  /** A step of a connection. */
  @FunctionalInterface
  private interface Step {
    void run() throws IOException;
  }

  /**
   * Logs an error when the listener ends before the server is closed. From then on the operating
   * system still accepts connections, but the stand-in does not answer them.
   */
  private static final class Listener implements ExceptionListener {
    private volatile boolean closing;

    @Override
    public void onError(Exception ex) {
      if (!closing) {
        LOG.log(
            System.Logger.Level.ERROR,
            "The listener has ended unexpectedly; the stand-in no longer answers",
            ex);
      }
    }

    @Override
    public void onError(HttpConnection connection, Exception ex) {
      LOG.log(System.Logger.Level.DEBUG, "A connection has failed", ex);
    }
  }

  private final HttpServer server;
  private final Listener listener;
  private final Connections connections;
  private final QueueFillers fillers = new QueueFillers();

  private StandInServer(HttpServer server, Listener listener, Connections connections) {
    this.server = server;
    this.listener = listener;
    this.connections = connections;
  }

  static StandInServer start(String address, int port, Handler handler) throws IOException {
    return start(address, port, handler, new WorkerCuts());
  }

  /** Starts a server that some processes may not reach. */
  static StandInServer start(String address, int port, Handler handler, WorkerCuts cuts)
      throws IOException {
    SocketConfig config =
        SocketConfig.custom()
            .setSoTimeout(Timeout.of(10, TimeUnit.MINUTES))
            .setTcpNoDelay(true)
            .build();
    Connections connections = new Connections(cuts);
    Listener listener = new Listener();
    HttpRequestHandler answers =
        (request, response, context) -> {
          SocketAddress caller =
              HttpCoreContext.cast(context).getEndpointDetails().getRemoteAddress();
          answer(handler, request, response, new Path(cuts, connections.of(caller)));
        };
    HttpServer server =
        ServerBootstrap.bootstrap()
            .setLocalAddress(InetAddress.getByName(address))
            .setCanonicalHostName(address)
            .setListenerPort(port)
            .setSocketConfig(config)
            .setConnectionFactory(connections)
            .setRequestRouter((request, context) -> answers)
            .setExceptionListener(listener)
            .setHttpProcessor(processor())
            .create();
    server.start();
    return new StandInServer(server, listener, connections);
  }

  /** Processes responses as the library does, then removes the framing where it is not wanted. */
  private static HttpProcessor processor() {
    HttpResponseInterceptor unframe = (response, entity, context) -> unframe(response);
    return HttpProcessors.customServer(null).addLast(unframe).build();
  }

  private static void unframe(HttpResponse response) {
    if (response.removeHeaders(UNFRAMED_MARK)) {
      response.removeHeaders(HttpHeaders.TRANSFER_ENCODING);
      response.removeHeaders(HttpHeaders.CONTENT_LENGTH);
      response.setHeader(HttpHeaders.CONNECTION, "close");
    }
  }

  int port() {
    return server.getLocalPort();
  }

  /** Lets the open connections be and answers new ones with nothing at all, until it is closed. */
  void goDark() throws IOException {
    connections.stopAccepting();
    fillers.fill(new InetSocketAddress(server.getInetAddress(), port()));
  }

  /**
   * Closes the listener before the connections, as the operating system does when a process exits.
   * The listener accepts connections until its thread has returned from {@code accept}, so this
   * method tries to connect until a connection is refused, up to {@link #MAX_CLOSE_CHECKS} times.
   */
  @Override
  public void close() {
    int port = port();
    listener.closing = true;
    server.stop();
    for (int check = 0; check < MAX_CLOSE_CHECKS && acceptsConnections(port); check++) {
      Thread.onSpinWait();
    }
    server.close(CloseMode.IMMEDIATE);
    fillers.close();
  }

  private boolean acceptsConnections(int port) {
    try (Socket socket = new Socket(server.getInetAddress(), port)) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * The path between a caller and the server. A connection whose response has failed is reset;
   * without that, the server would end the response as if it were complete.
   */
  private record Path(WorkerCuts cuts, AcceptedConnection connection) {

    void stream(Reply.Stream stream, OutputStream out) throws IOException {
      try {
        stream.writeTo(cuts.guard(out, connection));
      } catch (IOException e) {
        resetUnlessEnded();
        throw e;
      }
    }

    /** A reset would take away the last bytes of a response that is cut. */
    private void resetUnlessEnded() throws IOException {
      if (!connection.hasEndedSending()) {
        connection.reset();
      }
    }

    void pass() throws IOException {
      try {
        cuts.pass(connection);
      } catch (IOException e) {
        connection.reset();
        throw e;
      }
    }
  }

  private static void answer(
      Handler handler, ClassicHttpRequest request, ClassicHttpResponse response, Path path)
      throws IOException {
    path.pass();
    Reply reply = handler.handle(call(request));
    path.pass();
    if (reply.isCut() && CutAnswer.isCutInHead(reply)) {
      CutAnswer.sendCutHead(reply, path.connection());
    }
    if (reply.delivery() == Delivery.SPOILT) {
      SpoiltAnswer.send(reply, path.connection());
    }
    response.setCode(reply.status());
    reply.headers().forEach(response::setHeader);
    if (reply.endsWithConnection()) {
      response.setHeader(UNFRAMED_MARK, "true");
    }
    ContentType type = ContentType.parse(reply.contentType());
    Reply.Stream stream = streamOf(reply, path.connection());
    if (reply.delivery() == Delivery.AGAIN && reply.body() != null) {
      path.connection().sendLater(RepeatedAnswer.bytes(reply, reply.body()));
    }
    HttpEntity entity =
        stream == null
            ? new ByteArrayEntity(reply.body(), type)
            : new EntityTemplate(-1, type, null, out -> path.stream(stream, out));
    response.setEntity(entity);
  }

  private static Reply.@Nullable Stream streamOf(Reply reply, AcceptedConnection connection) {
    Reply.Stream stream = reply.stream();
    if (stream == null) {
      return null;
    }
    return switch (reply.delivery()) {
      case ONCE -> stream;
      case AGAIN -> RepeatedAnswer.recording(reply, stream, connection);
      case CUT -> CutAnswer.cutInChunks(stream, connection);
      case SPOILT -> throw new IllegalStateException("A spoilt response is sent as a whole.");
    };
  }

  private static Call call(ClassicHttpRequest request) throws IOException {
    try {
      URIBuilder uri = new URIBuilder(request.getUri());
      Map<String, String> query = new HashMap<>();
      uri.getQueryParams().forEach(pair -> query.put(pair.getName(), pair.getValue()));
      Map<String, String> headers = new HashMap<>();
      for (Header header : request.getHeaders()) {
        headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue());
      }
      byte[] body = new byte[0];
      if (request.getEntity() != null) {
        body = EntityUtils.toByteArray(request.getEntity(), MAXIMUM_BODY_BYTES);
      }
      String path = uri.getPath() == null ? "/" : uri.getPath();
      return new Call(request.getMethod(), path, query, headers, body);
    } catch (java.net.URISyntaxException e) {
      throw new IOException(e);
    }
  }
}
