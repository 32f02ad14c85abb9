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

/** One request on a caller's connection: reads it whole, then writes what the forwarder gives. */
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
  private boolean started;
  private boolean ended;
  private boolean endSent;
  private boolean aborted;
  private boolean over;

  CallerExchange(Gateway gateway) {
    this.gateway = gateway;
  }

  @Override
  public void handleRequest(
      HttpRequest received,
      @Nullable EntityDetails details,
      ResponseChannel channel,
      HttpContext httpContext) {
    synchronized (gateway.guard()) {
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
    synchronized (gateway.guard()) {
      if (started) {
        return;
      }
      if (body.size() + data.remaining() > gateway.maxBodyBytes()) {
        started = true;
        whole(413, List.of(), new byte[0]);
        return;
      }
      byte[] part = new byte[data.remaining()];
      data.get(part);
      body.writeBytes(part);
    }
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    synchronized (gateway.guard()) {
      if (!started) {
        start();
      }
    }
  }

  private void start() {
    started = true;
    HttpRequest received = request;
    long receivedNanos = System.nanoTime();
    if (received != null) {
      gateway.whenFleetIsKnown(() -> forward(received, receivedNanos));
    }
  }

  private void forward(HttpRequest received, long receivedNanos) {
    if (!over) {
      forwarder = gateway.forward(received, body.toByteArray(), this, receivedNanos);
    }
  }

  @Override
  public void whole(int status, List<Header> headers, byte[] content) {
    if (over || ended) {
      return;
    }
    ended = true;
    if (content.length > 0) {
      pending.add(ByteBuffer.wrap(content));
    }
    respond(status, headers, content.length > 0 ? content.length : 0);
  }

  @Override
  public void begin(int status, List<Header> headers) {
    respond(status, headers, -1);
  }

  private void respond(int status, List<Header> headers, long length) {
    ResponseChannel channel = responses;
    if (channel == null || over) {
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
      LOG.debug("An answer could not be given: {}.", e.toString());
      over = true;
    }
  }

  @Override
  public void write(byte[] part) {
    if (over || ended || part.length == 0) {
      return;
    }
    pending.add(ByteBuffer.wrap(part));
    flush();
  }

  @Override
  public void end() {
    if (!over) {
      ended = true;
      flush();
    }
  }

  @Override
  public void abort() {
    aborted = true;
    DataStreamChannel channel = output;
    if (channel != null && !over) {
      channel.requestOutput();
    }
  }

  @Override
  public int available() {
    synchronized (gateway.guard()) {
      int bytes = 0;
      for (ByteBuffer part : pending) {
        bytes += part.remaining();
      }
      return bytes > 0 || !ended && !aborted ? bytes : 1;
    }
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    synchronized (gateway.guard()) {
      output = channel;
      if (aborted) {
        throw new IOException("The answer is broken off.");
      }
      drain(channel);
    }
  }

  private void flush() {
    DataStreamChannel channel = output;
    if (channel == null) {
      return;
    }
    try {
      drain(channel);
    } catch (IOException e) {
      LOG.debug("An answer could not be passed on: {}.", e.toString());
    }
  }

  private void drain(DataStreamChannel channel) throws IOException {
    while (!pending.isEmpty()) {
      ByteBuffer part = pending.peekFirst();
      channel.write(part);
      if (part.hasRemaining()) {
        channel.requestOutput();
        return;
      }
      pending.removeFirst();
    }
    if (ended && !endSent) {
      endSent = true;
      channel.endStream();
    }
  }

  @Override
  public boolean isResponsePending() {
    synchronized (gateway.guard()) {
      return !over && started && !ended;
    }
  }

  @Override
  public void callerClosed() {
    callerGone();
  }

  @Override
  public void failed(Exception cause) {
    callerGone();
  }

  @Override
  public void releaseResources() {
    callerGone();
  }

  private void callerGone() {
    synchronized (gateway.guard()) {
      if (over) {
        return;
      }
      over = true;
      Forwarder running = forwarder;
      if (running != null && !ended) {
        running.callerGone();
      }
    }
  }
}
