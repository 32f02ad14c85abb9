package org.fawnvale.serving.http;

import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.model.NodeResponse;

/**
 * Receives a node's response to one request. All methods are called with the daemon's lock held.
 */
public interface NodeResponseListener extends ResponseListener {

  /**
   * Called with the status and headers of the final response.
   *
   * @param response the response without its body
   * @param signals what the headers signal about the node and the request
   */
  void head(HttpResponse response, NodeResponse signals);
}
