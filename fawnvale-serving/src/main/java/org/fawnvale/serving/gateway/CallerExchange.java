package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.flow.ResponseBuffer;
import org.fawnvale.serving.http.ServerExchange;
import org.jspecify.annotations.Nullable;

/**
 * Buffers one request of a caller, hands it to the gateway and writes the response. It holds no
 * more for a caller than {@link ResponseBuffer} and {@link IncomingBody} allow.
 */
final class CallerExchange implements ServerExchange, CallerResponse {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final String CALLER_LEFT = "caller left";

  /**
   * The most bytes of a refused body that are read, so that a body without end does not occupy the
   * thread of all connections. A sound caller stops sending once it has read the answer.
   */
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  private static final int UNKNOWN_LENGTH = -1;

  private final Gateway gateway;
  private final boolean forwarded;
  private final CallerBufferMonitor monitor;
  private final IncomingBody body;
  private final ResponseBuffer buffer;
  private final ResponseQueue pending;
  private Runnable closeConnection = () -> {};
  private @Nullable CallerHolding holding;
  private @Nullable HttpRequest request;
  private @Nullable ResponseChannel responses;
  private @Nullable HttpContext context;
  private @Nullable DataStreamChannel output;
  private @Nullable Forwarder forwarder;
  private boolean counted;
  private boolean requestHandled;
  private boolean refusedUnread;
  private int discardedBytes;
  private boolean responseComplete;
  private boolean endSent;
  private boolean aborted;
  private boolean closed;
  private boolean delivered;
  private long abortedNanos;

  /**
   * Creates the handler of one request.
   *
   * @param forwarded whether another daemon forwards the request for its caller
   */
  CallerExchange(Gateway gateway, boolean forwarded) {
    this.gateway = gateway;
    this.forwarded = forwarded;
    this.monitor = gateway.callerBuffers();
    this.body = new IncomingBody(monitor.newBody());
    this.buffer = monitor.newResponse();
    this.pending = new ResponseQueue(buffer);
  }

  @Override
  public void connected(Runnable close, CallerHolding holdingOfConnection) {
    closeConnection = close;
    holding = holdingOfConnection;
  }

  @Override
  public void handleRequest(
      HttpRequest received,
      @Nullable EntityDetails details,
      ResponseChannel channel,
      HttpContext httpContext) {
    synchronized (gateway.lock()) {
      gateway.requestOpened(this);
      counted = true;
      request = received;
      responses = channel;
      context = httpContext;
      if (details == null) {
        start();
      } else if (gateway.isEnding()) {
        refuseIncomplete();
      } else {
        body.expect(details.getContentLength(), gateway.maxBodyBytes());
      }
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    synchronized (gateway.lock()) {
      if (requestHandled) {
        channel.update(Integer.MAX_VALUE);
      } else {
        if (!body.readOn(channel, System.nanoTime())) {
          monitor.metrics().inputSuspended("body");
        }
        monitor.watch(this);
      }
    }
  }

  @Override
  public void consume(ByteBuffer data) {
    synchronized (gateway.lock()) {
      if (requestHandled) {
        discard(data.remaining());
        return;
      }
      if (!body.add(data, gateway.maxBodyBytes())) {
        refuseUnreadBody(413, "the body is too large");
      }
    }
  }

  /** Drops a part of a refused body, which is read on so that its caller comes to the answer. */
  private void discard(int bytes) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      LOG.warn(
          "request={} why=body goes on after its refusal outcome=connection_closed", requestId());
      closeConnection.run();
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
    long receivedNanos = System.nanoTime();
    if (!hasRoom(receivedNanos)) {
      refuseUnreadBody(HttpStatus.SC_SERVICE_UNAVAILABLE, "no room for the request");
      return;
    }
    requestHandled = true;
    HttpRequest received = request;
    if (received != null) {
      gateway.whenFleetKnown(() -> forward(received, receivedNanos));
    }
  }

  private boolean hasRoom(long nowNanos) {
    CallerHolding held = holding;
    return held == null || held.beginRequest(nowNanos);
  }

  private void forward(HttpRequest received, long receivedNanos) {
    if (!closed) {
      forwarder = gateway.forward(received, body.take(), this, receivedNanos, forwarded);
      if (responseComplete || closed) {
        releaseRequest();
      }
    }
  }

  /** Drops the request: it has ended, but its response may still wait for the caller. */
  private void releaseRequest() {
    forwarder = null;
    body.release();
  }

  @Override
  public void respond(int status, List<Header> headers, byte[] content) {
    if (closed || responseComplete) {
      return;
    }
    HttpResponse head = ResponseHead.of(status, headers, gateway.isDraining());
    completeResponse();
    if (content.length > 0) {
      pending.add(content);
      monitor.watch(this);
    }
    send(head, content.length > 0 ? content.length : 0);
  }

  @Override
  public void begin(int status, List<Header> headers) {
    if (!closed) {
      send(ResponseHead.of(status, headers, gateway.isDraining()), UNKNOWN_LENGTH);
    }
  }

  /**
   * Hands a head to the connection, which takes one only: if that fails, the caller learns it by
   * the close.
   *
   * @param length the bytes of the body; {@link #UNKNOWN_LENGTH} if it follows in parts
   */
  private void send(HttpResponse head, long length) {
    ResponseChannel channel = responses;
    if (channel == null || closed) {
      return;
    }
    EntityDetails details = length == 0 ? null : new BasicEntityDetails(length, null);
    try {
      channel.sendResponse(head, details, context);
    } catch (HttpException | IOException | RuntimeException e) {
      LOG.warn(
          "request={} status={} why={} outcome=connection_closed",
          requestId(),
          head.getCode(),
          e.toString());
      closeConnection.run();
    }
  }

  private void completeResponse() {
    responseComplete = true;
    buffer.complete();
    releaseRequest();
    recordAnswered();
  }

  private void recordAnswered() {
    CallerHolding held = holding;
    if (held != null) {
      held.answered(System.nanoTime());
    }
  }

  /** Marks the caller's connection as closed and drops what is held for it. */
  private void close() {
    closed = true;
    endCounting();
    pending.clear();
    body.release();
    monitor.unwatch(this);
    CallerHolding held = holding;
    if (held != null) {
      held.endRequest(System.nanoTime());
    }
  }

  /** Counts the request as open no longer. */
  private void endCounting() {
    if (counted) {
      counted = false;
      gateway.requestClosed(this);
    }
  }

  @Override
  public void write(byte[] part) {
    if (closed || aborted || responseComplete || part.length == 0) {
      return;
    }
    pending.add(part);
    flush();
    if (!pending.isEmpty()) {
      monitor.watch(this);
    }
  }

  @Override
  public int readCapacity() {
    boolean wasSuspended = buffer.isSuspended();
    int bytes = closed ? Integer.MAX_VALUE : buffer.grant(System.nanoTime());
    if (bytes == 0) {
      if (!wasSuspended) {
        monitor.metrics().inputSuspended("upstream");
      }
      monitor.watch(this);
    }
    return bytes;
  }

  @Override
  public void collect(int bytes) {
    if (!closed) {
      buffer.collect(bytes);
    }
  }

  @Override
  public boolean hasRoomForPartial(int bytes) {
    return closed || buffer.hasRoomForPartial(bytes);
  }

  @Override
  public void holdPartial(int bytes) {
    if (!closed) {
      buffer.holdPartial(bytes);
    }
  }

  @Override
  public void endCollecting() {
    buffer.endCollecting();
  }

  @Override
  public void end() {
    if (!closed) {
      completeResponse();
      flush();
    }
  }

  @Override
  public void abort() {
    if (closed) {
      return;
    }
    aborted = true;
    abortedNanos = System.nanoTime();
    pending.clear();
    releaseRequest();
    monitor.watch(this);
    DataStreamChannel channel = output;
    if (channel != null) {
      channel.requestOutput();
    }
  }

  @Override
  public int available() {
    synchronized (gateway.lock()) {
      int bytes = pending.bytes();
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
      if (responseComplete) {
        recordAnswered();
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
    pending.writeTo(channel);
    if (!pending.isEmpty()) {
      channel.requestOutput();
    } else if (responseComplete && !endSent) {
      endSent = true;
      channel.endStream();
    }
    resumeIfDrained();
  }

  private void resumeIfDrained() {
    Forwarder running = forwarder;
    if (running != null && buffer.tryResume()) {
      running.inFlight().resumeInput();
    }
  }

  /**
   * Checks an exchange that waits for its caller or for room: reads on what may be read on, and
   * closes a caller that does not read.
   *
   * @return whether the exchange is still to be checked
   */
  boolean check(long nowNanos) {
    if (closed) {
      return false;
    }
    if (body.hasWaitedTooLong(nowNanos)) {
      refuseUnreadBody(503, "no room for the body");
    } else if (body.isStalled(nowNanos)) {
      refuseUnreadBody(408, "the body does not arrive");
    }
    body.tryResume(nowNanos);
    resumeIfDrained();
    if (buffer.isStalled(nowNanos) || aborted && monitor.isOverdue(abortedNanos, nowNanos)) {
      closeUnread();
      return false;
    }
    return aborted || body.isIncomplete() || buffer.isSuspended() || !pending.isEmpty();
  }

  /** Refuses the request if its body has not arrived whole, because the process exits. */
  void refuseIncomplete() {
    if (!closed && !requestHandled) {
      refuseUnreadBody(HttpStatus.SC_SERVICE_UNAVAILABLE, Gateway.STOPPING);
    }
  }

  private void refuseUnreadBody(int status, String reason) {
    HttpRequest received = request;
    requestHandled = true;
    refusedUnread = true;
    if (received != null) {
      gateway.refuseUnreadBody(received, this, status, reason);
    }
    endCounting();
  }

  private @Nullable String requestId() {
    HttpRequest received = request;
    return received == null ? null : Headers.value(received, gateway.headers().requestId());
  }

  /** Closes the connection of a caller that does not read, and stops its upstream's work. */
  private void closeUnread() {
    LOG.info(
        "request={} outcome=caller_closed reason=unread unread_bytes={}",
        requestId(),
        buffer.unread());
    monitor.metrics().callerClosedUnread();
    disconnect("caller does not read");
    closeConnection.run();
  }

  @Override
  public boolean isResponsePending() {
    synchronized (gateway.lock()) {
      return !closed && requestHandled && !responseComplete;
    }
  }

  @Override
  public boolean isEnded() {
    synchronized (gateway.lock()) {
      return closed;
    }
  }

  @Override
  public void callerClosed() {
    failed(CALLER_LEFT);
  }

  @Override
  public void failed(Exception cause) {
    boolean ofConnection = cause instanceof IOException || cause instanceof HttpException;
    failed(ofConnection ? CALLER_LEFT : cause.toString());
  }

  private void failed(String reason) {
    synchronized (gateway.lock()) {
      disconnect(reason);
    }
  }

  @Override
  public void releaseResources() {
    synchronized (gateway.lock()) {
      delivered = true;
      disconnect(CALLER_LEFT);
    }
  }

  private void disconnect(String reason) {
    if (closed) {
      return;
    }
    Forwarder running = forwarder;
    int unsentBytes = pending.bytes();
    close();
    if (running != null && !responseComplete) {
      running.callerDisconnected(reason);
    } else if (!responseComplete && !aborted && request != null) {
      gateway.log().endedEarly(requestId(), reason);
    } else if (responseComplete && !delivered && !refusedUnread) {
      gateway.log().notDelivered(requestId(), reason, unsentBytes);
    }
    forwarder = null;
  }
}
