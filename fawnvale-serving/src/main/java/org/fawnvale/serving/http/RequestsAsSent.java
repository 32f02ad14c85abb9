package org.fawnvale.serving.http;

import java.net.URI;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Creates callers' requests with their targets as they were sent. The library would take what looks
 * like a scheme or an authority out of a target, and leave another path.
 */
final class RequestsAsSent implements HttpRequestFactory<HttpRequest> {

  @Override
  public HttpRequest newHttpRequest(String method, String target) {
    return new BasicHttpRequest(method, null, null, target);
  }

  @Override
  public HttpRequest newHttpRequest(String method, URI target) {
    return newHttpRequest(method, target.toString());
  }
}
