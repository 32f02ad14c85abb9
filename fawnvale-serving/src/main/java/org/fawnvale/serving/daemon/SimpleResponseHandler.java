package org.fawnvale.serving.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.http.ServerExchange;
import org.jspecify.annotations.Nullable;

/** Answers a request with a small response that a function computes from the request target. */
final class SimpleResponseHandler implements ServerExchange {

  private final Object lock;
  private final Function<String, Response> responder;
  private ByteBuffer body = ByteBuffer.allocate(0);
  private boolean ended;
  private boolean released;

  /**
   * A response.
   *
   * @param status the HTTP status
   * @param body the body; may be empty
   */
  record Response(int status, byte[] body) {}

  SimpleResponseHandler(Object lock, Function<String, Response> responder) {
    this.lock = lock;
    this.responder = responder;
  }

  @Override
  public void handleRequest(
      HttpRequest request,
      @Nullable EntityDetails details,
      ResponseChannel channel,
      HttpContext context)
      throws HttpException, IOException {
    Response answer;
    synchronized (lock) {
      answer = responder.apply(request.getRequestUri());
    }
    HttpResponse response = new BasicHttpResponse(answer.status());
    if (answer.body().length == 0) {
      channel.sendResponse(response, null, context);
      return;
    }
    body = ByteBuffer.wrap(answer.body());
    channel.sendResponse(
        response, new BasicEntityDetails(answer.body().length, ContentType.TEXT_PLAIN), context);
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer data) {
    data.position(data.limit());
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    // The request body is ignored.
  }

  @Override
  public int available() {
    return body.remaining();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    channel.write(body);
    if (!body.hasRemaining() && !ended) {
      ended = true;
      channel.endStream();
    }
  }

  @Override
  public void failed(Exception cause) {
    released = true;
  }

  @Override
  public void releaseResources() {
    released = true;
  }

  /** The response is computed at once, so the connection may give way at any time. */
  @Override
  public void connected(Runnable closeConnection, CallerHolding holding) {
    // Nothing is served for longer than a turn.
  }

  @Override
  public boolean isResponsePending() {
    return false;
  }

  @Override
  public boolean isEnded() {
    return released;
  }

  @Override
  public void callerClosed() {
    released = true;
  }
}
