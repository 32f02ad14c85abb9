package org.fawnvale.serving.http;

import org.apache.hc.core5.http.message.BasicHttpRequest;

/** Stands for a caller's head that is no HTTP/1.1, so that its caller gets an answer. */
final class MalformedRequest extends BasicHttpRequest {

  private static final long serialVersionUID = 1L;

  /** Creates the request; nothing is known of what was sent. */
  MalformedRequest() {
    super("GET", null, null, "/");
  }
}
