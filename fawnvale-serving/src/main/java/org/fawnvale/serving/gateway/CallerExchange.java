package org.fawnvale.serving.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.http.ServerExchange;
import org.jspecify.annotations.Nullable;

/** Buffers one request of a caller, hands it to the gateway and writes the response. */
final class CallerExchange implements ServerExchange, CallerResponse {

  private static final Logger LOG = LogManager.getLogger("gateway");

  private final Gateway gateway;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private @Nullable HttpRequest request;
  private @Nullable ResponseChannel responses;
  private @Nullable HttpContext context;
  private @Nullable DataStreamChannel output;
  private @Nullable Forwarder forwarder;
  private boolean requestHandled;
  private boolean responseComplete;
  private boolean endSent;
  private boolean aborted;
  private boolean closed;

  CallerExchange(Gateway gateway) {
    this.gateway = gateway;
  }

  @Override
  public void handleRequest(
      HttpRequest received,
      @Nullable EntityDetails details,
      ResponseChannel channel,
      HttpContext httpContext) {
    synchronized (gateway.lock()) {
      request = received;
      responses = channel;
      context = httpContext;
      if (details == null) {
        start();
      }
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer data) {
    synchronized (gateway.lock()) {
      if (requestHandled) {
        return;
      }
      if (body.size() + data.remaining() > gateway.maxBodyBytes()) {
        requestHandled = true;
        respond(413, List.of(), new byte[0]);
        return;
      }
      byte[] part = new byte[data.remaining()];
      data.get(part);
      body.writeBytes(part);
    }
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    synchronized (gateway.lock()) {
      if (!requestHandled) {
        start();
      }
    }
  }

  private void start() {
    requestHandled = true;
    HttpRequest received = request;
    long receivedNanos = System.nanoTime();
    if (received != null) {
      gateway.whenFleetKnown(() -> forward(received, receivedNanos));
    }
  }

  private void forward(HttpRequest received, long receivedNanos) {
    if (!closed) {
      forwarder = gateway.forward(received, body.toByteArray(), this, receivedNanos);
    }
  }

  @Override
  public void respond(int status, List<Header> headers, byte[] content) {
    if (closed || responseComplete) {
      return;
    }
    responseComplete = true;
    if (content.length > 0) {
      pending.add(ByteBuffer.wrap(content));
    }
    sendHead(status, headers, content.length > 0 ? content.length : 0);
  }

  @Override
  public void begin(int status, List<Header> headers) {
    sendHead(status, headers, -1);
  }

  private void sendHead(int status, List<Header> headers, long length) {
    ResponseChannel channel = responses;
    if (channel == null || closed) {
      return;
    }
    HttpResponse response = new BasicHttpResponse(status);
    ContentType type = null;
    for (Header header : headers) {
      if (HttpHeaders.CONTENT_TYPE.equalsIgnoreCase(header.getName())) {
        type = ContentType.parseLenient(header.getValue());
      }
      response.addHeader(header);
    }
    if (gateway.isDraining()) {
      response.setHeader(HttpHeaders.CONNECTION, "close");
    }
    EntityDetails details =
        length == 0 ? null : new BasicEntityDetails(length, type == null ? null : type);
    try {
      channel.sendResponse(response, details, context);
    } catch (HttpException | IOException e) {
      LOG.debug("The response head could not be sent to the caller: {}.", e.toString());
      closed = true;
    }
  }

  @Override
  public void write(byte[] part) {
    if (closed || responseComplete || part.length == 0) {
      return;
    }
    pending.add(ByteBuffer.wrap(part));
    flush();
  }

  @Override
  public void end() {
    if (!closed) {
      responseComplete = true;
      flush();
    }
  }

  @Override
  public void abort() {
    aborted = true;
    DataStreamChannel channel = output;
    if (channel != null && !closed) {
      channel.requestOutput();
    }
  }

  @Override
  public int available() {
    synchronized (gateway.lock()) {
      int bytes = 0;
      for (ByteBuffer part : pending) {
        bytes += part.remaining();
      }
      return bytes > 0 || !responseComplete && !aborted ? bytes : 1;
    }
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    synchronized (gateway.lock()) {
      output = channel;
      if (aborted) {
        throw new IOException("The response was aborted before it was complete.");
      }
      writePending(channel);
    }
  }

  private void flush() {
    DataStreamChannel channel = output;
    if (channel == null) {
      return;
    }
    try {
      writePending(channel);
    } catch (IOException e) {
      LOG.debug("The response body could not be written to the caller: {}.", e.toString());
    }
  }

  private void writePending(DataStreamChannel channel) throws IOException {
    while (!pending.isEmpty()) {
      ByteBuffer part = pending.peekFirst();
      channel.write(part);
      if (part.hasRemaining()) {
        channel.requestOutput();
        return;
      }
      pending.removeFirst();
    }
    if (responseComplete && !endSent) {
      endSent = true;
      channel.endStream();
    }
  }

  @Override
  public boolean isResponsePending() {
    synchronized (gateway.lock()) {
      return !closed && requestHandled && !responseComplete;
    }
  }

  @Override
  public void callerClosed() {
    callerDisconnected();
  }

  @Override
  public void failed(Exception cause) {
    callerDisconnected();
  }

  @Override
  public void releaseResources() {
    callerDisconnected();
  }

  private void callerDisconnected() {
    synchronized (gateway.lock()) {
      if (closed) {
        return;
      }
      closed = true;
      Forwarder running = forwarder;
      if (running != null && !responseComplete) {
        running.callerDisconnected();
      }
    }
  }
}
