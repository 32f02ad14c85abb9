package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** Answers a caller's head that is no HTTP/1.1 with 400, and ends its connection. */
final class MalformedRequestExchange extends ImmediateExchange {

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
}
