package org.fawnvale.serving.daemon;

import java.io.IOException;
import java.util.function.Function;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.fawnvale.serving.http.ImmediateExchange;
import org.jspecify.annotations.Nullable;

/** Answers a request with a small response that a function computes from the request target. */
final class SimpleResponseHandler extends ImmediateExchange {

  private final Object lock;
  private final Function<String, Response> responder;

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
    setResponseBody(answer.body());
    channel.sendResponse(
        response, new BasicEntityDetails(answer.body().length, ContentType.TEXT_PLAIN), context);
  }
}
