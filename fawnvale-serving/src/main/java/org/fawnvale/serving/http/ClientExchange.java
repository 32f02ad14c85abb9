package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.RequestNotExecutedException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.jspecify.annotations.Nullable;

/** One request to an upstream, to the store or to another daemon, and its response. */
public final class ClientExchange implements AsyncClientExchangeHandler {

  private static final Logger LOG = LogManager.getLogger("http");

  private final Object lock;
  private final HttpRequest request;
  private final ByteBuffer body;
  private final ClientListener listener;
  private final HttpClient client;
  private final Endpoint endpoint;
  private final boolean alone;
  private @Nullable IOSession session;
  private @Nullable ClientConnection connection;
  private @Nullable CapacityChannel capacity;
  private @Nullable ConnectionUse connectionUse;
  private boolean bodySent;
  private boolean responseComplete;
  private boolean over;
  private boolean reusable;
  private long keepAliveMillis = -1;

  ClientExchange(
      Object lock,
      HttpRequest request,
      byte[] body,
      ClientListener listener,
      HttpClient client,
      Endpoint endpoint,
      boolean alone) {
    this.lock = lock;
    this.request = request;
    this.body = ByteBuffer.wrap(body);
    this.listener = listener;
    this.client = client;
    this.endpoint = endpoint;
    this.alone = alone;
    this.bodySent = body.length == 0;
  }

  void attach(IOSession opened) {
    session = opened;
    ClientConnection attached = ClientConnection.of(opened);
    connection = attached;
    if (attached != null) {
      connectionUse = new ConnectionUse(opened.getId(), attached.requestStarted());
      attached.inputUsed();
    }
  }

  private void inputUsed() {
    ClientConnection open = connection;
    if (open != null) {
      open.inputUsed();
    }
  }

  /** Returns whether an answer on the connection belongs to this request. */
  AnswerMatch match(HttpResponse head) {
    synchronized (lock) {
      return over ? AnswerMatch.OTHER : listener.match(head);
    }
  }

  /**
   * Returns the connection that carries the request, for the log.
   *
   * @return the connection; null before the request was handed to one
   */
  public @Nullable ConnectionUse connectionUse() {
    return connectionUse;
  }

  private void logCut(CutMessageException.Part part) {
    ConnectionUse use = connectionUse;
    LOG.info(
        "endpoint={} connection={} use={} part={} outcome=answer_cut",
        endpoint,
        use == null ? null : use.connection(),
        use == null ? 0 : use.number(),
        part);
  }

  boolean isOver() {
    return over;
  }

  /** Tells whether the request was handed to a connection that has not ended. */
  boolean isConnected() {
    return session != null;
  }

  /** Aborts the request: closes its connection; the listener is not called again. */
  @Override
  public void cancel() {
    synchronized (lock) {
      over = true;
      IOSession open = session;
      if (open != null) {
        open.close(CloseMode.IMMEDIATE);
      }
    }
  }

  void notSent(ClientListener.Failure failure, Exception cause) {
    synchronized (lock) {
      if (!over) {
        over = true;
        listener.failed(failure, cause);
      }
    }
  }

  @Override
  public void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    ClientConnection open = connection;
    if (open != null) {
      open.requestSent(this);
    }
    EntityDetails details =
        body.hasRemaining() ? new BasicEntityDetails(body.remaining(), null) : null;
    channel.sendRequest(request, details, context);
  }

  @Override
  public int available() {
    return body.remaining();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    channel.write(body);
    if (!body.hasRemaining() && !bodySent) {
      bodySent = true;
      channel.endStream();
    }
  }

  @Override
  public void consumeInformation(HttpResponse response, HttpContext context) {
    // Informational (1xx) responses are ignored.
  }

  @Override
  public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context) {
    synchronized (lock) {
      if (over) {
        return;
      }
      inputUsed();
      reusable = mayBeReused(response);
      keepAliveMillis = KeepAlive.millis(response);
      listener.head(response);
      if (details == null) {
        finish();
      }
    }
  }

  /**
   * Returns whether the connection may carry another request. It may not after a request whose
   * answer has no body whatever its head announces: were that answer sent again, its end could not
   * be found.
   */
  private boolean mayBeReused(HttpResponse response) {
    ClientConnection open = connection;
    boolean inStep = open == null || open.isInStep();
    return !alone
        && bodySent
        && inStep
        && !Method.HEAD.isSame(request.getMethod())
        && KeepAlive.allowed(response);
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    synchronized (lock) {
      capacity = channel;
      int bytes = over ? Integer.MAX_VALUE : listener.readCapacity();
      if (bytes > 0) {
        channel.update(bytes);
      }
    }
  }

  /**
   * Reads on after {@link ResponseListener#readCapacity} has returned 0.
   *
   * @param bytes how many more bytes may be read, above 0
   */
  public void resume(int bytes) {
    synchronized (lock) {
      CapacityChannel suspended = capacity;
      IOSession open = session;
      if (over || suspended == null) {
        return;
      }
      try {
        suspended.update(bytes);
      } catch (IOException e) {
        if (open != null) {
          open.close(CloseMode.IMMEDIATE);
        }
      }
    }
  }

  @Override
  public void consume(ByteBuffer data) {
    synchronized (lock) {
      if (!over) {
        inputUsed();
        listener.data(data);
      }
    }
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    synchronized (lock) {
      if (!over) {
        finish();
      }
    }
  }

  private void finish() {
    over = true;
    responseComplete = true;
    ClientConnection open = connection;
    if (open != null) {
      open.answered();
    }
    listener.end();
  }

  @Override
  public void failed(Exception cause) {
    synchronized (lock) {
      if (!over) {
        over = true;
        if (cause instanceof CutMessageException cut) {
          logCut(cut.part());
        }
        boolean unsent = cause instanceof RequestNotExecutedException;
        listener.failed(
            unsent ? ClientListener.Failure.UNREACHABLE : ClientListener.Failure.BROKEN, cause);
      }
    }
  }

  @Override
  public void releaseResources() {
    synchronized (lock) {
      IOSession used = session;
      session = null;
      if (!over) {
        over = true;
        listener.failed(
            ClientListener.Failure.BROKEN,
            new IOException("The connection was closed before the response was complete."));
      }
      if (used != null && used.isOpen()) {
        if (responseComplete && reusable) {
          client.addIdle(endpoint, used, keepAliveMillis);
        } else {
          used.close(CloseMode.IMMEDIATE);
        }
      }
    }
  }
}
