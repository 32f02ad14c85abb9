package org.fawnvale.serving.gateway;

import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * The forms of a request's target (RFC 9112, section 3.2). A caller may name the host in the target
 * as well; that host counts then, and upstreams get the path alone.
 */
final class OriginForm {

  private static final String[] SCHEMES = {"http://", "https://"};

  private OriginForm() {}

  /**
   * Returns a request whose target is its path and query.
   *
   * @param head a request as it was sent
   * @return the request itself unless its target names a host
   */
  static HttpRequest of(HttpRequest head) {
    String target = head.getRequestUri();
    int host = hostBegin(target);
    if (host < 0) {
      return head;
    }
    int end = hostEnd(target, host);
    String path = target.substring(end);
    BasicHttpRequest origin =
        new BasicHttpRequest(
            head.getMethod(), null, null, path.startsWith("/") ? path : "/" + path);
    for (Header header : head.getHeaders()) {
      origin.addHeader(header);
    }
    origin.setHeader(HttpHeaders.HOST, target.substring(host, end));
    return origin;
  }

  private static int hostBegin(String target) {
    if (target.startsWith("/")) {
      return -1;
    }
    String lower = target.toLowerCase(Locale.ROOT);
    for (String scheme : SCHEMES) {
      if (lower.startsWith(scheme)) {
        return scheme.length();
      }
    }
    return -1;
  }

  private static int hostEnd(String target, int begin) {
    int end = begin;
    while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
      end++;
    }
    return end;
  }
}
