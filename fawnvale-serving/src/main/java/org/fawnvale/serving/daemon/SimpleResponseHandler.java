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
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** Answers a request with a small page that a function makes. */
final class SimpleResponseHandler implements AsyncServerExchangeHandler {

  private final Object guard;
  private final Function<String, Page> pages;
  private ByteBuffer body = ByteBuffer.allocate(0);
  private boolean ended;

  /**
   * A page.
   *
   * @param status its status
   * @param body its body
   */
  record Page(int status, byte[] body) {}

  SimpleResponseHandler(Object guard, Function<String, Page> pages) {
    this.guard = guard;
    this.pages = pages;
  }

  @Override
  public void handleRequest(
      HttpRequest request,
      @Nullable EntityDetails details,
      ResponseChannel channel,
      HttpContext context)
      throws HttpException, IOException {
    Page page;
    synchronized (guard) {
      page = pages.apply(request.getRequestUri());
    }
    HttpResponse response = new BasicHttpResponse(page.status());
    if (page.body().length == 0) {
      channel.sendResponse(response, null, context);
      return;
    }
    body = ByteBuffer.wrap(page.body());
    channel.sendResponse(
        response, new BasicEntityDetails(page.body().length, ContentType.TEXT_PLAIN), context);
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
    // The body of a question is not used.
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
    // The asker has left; nothing is kept.
  }

  @Override
  public void releaseResources() {
    // Nothing is kept.
  }
}
