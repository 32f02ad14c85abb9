package org.fawnvale.serving.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.jspecify.annotations.Nullable;

/** Answers a caller's head that is no HTTP/1.1 with 400, and ends its connection. */
final class MalformedRequestExchange implements ServerExchange {

  private volatile boolean ended;

  @Override
  public void handleRequest(
      HttpRequest request,
      @Nullable EntityDetails details,
      ResponseChannel channel,
      HttpContext context)
      throws HttpException, IOException {
    HttpResponse response = new BasicHttpResponse(HttpStatus.SC_BAD_REQUEST);
    response.addHeader(HttpHeaders.CONNECTION, "close");
    channel.sendResponse(response, null, context);
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
    // There is no body.
  }

  @Override
  public int available() {
    return 0;
  }

  @Override
  public void produce(DataStreamChannel channel) {
    // The answer has no body.
  }

  @Override
  public void connected(Runnable closeConnection, CallerHolding holding) {
    // Nothing is held.
  }

  @Override
  public boolean isResponsePending() {
    return false;
  }

  @Override
  public boolean isEnded() {
    return ended;
  }

  @Override
  public void callerClosed() {
    ended = true;
  }

  @Override
  public void failed(Exception cause) {
    ended = true;
  }

  @Override
  public void releaseResources() {
    ended = true;
  }
}
