package org.fawnvale.serving.gateway;

import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;

/** Builds the heads of responses to callers. */
final class ResponseHead {

  /** The first code behind those that exist (RFC 9110, section 15). */
  private static final int STATUS_END = 600;

  private ResponseHead() {}

  /**
   * Builds a head.
   *
   * @param closes whether the caller's connection ends with the response
   * @throws IllegalArgumentException if there is no final response with the status
   */
  static HttpResponse of(int status, List<Header> headers, boolean closes) {
    if (status < HttpStatus.SC_SUCCESS || status >= STATUS_END) {
      throw new IllegalArgumentException(
          "No final response has the status " + status + "; expected 200 to 599.");
    }
    HttpResponse head = new BasicHttpResponse(status);
    headers.forEach(head::addHeader);
    if (closes) {
      head.setHeader(HttpHeaders.CONNECTION, "close");
    }
    return head;
  }
}
