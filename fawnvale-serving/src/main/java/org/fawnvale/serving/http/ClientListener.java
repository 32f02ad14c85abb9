package org.fawnvale.serving.http;

import org.apache.hc.core5.http.HttpResponse;

/** Receives the response to one request. All methods are called with the daemon's lock held. */
public interface ClientListener extends ResponseListener {

  /**
   * Called with the status and headers of the final response.
   *
   * @param response the response without its body
   */
  void head(HttpResponse response);
}
