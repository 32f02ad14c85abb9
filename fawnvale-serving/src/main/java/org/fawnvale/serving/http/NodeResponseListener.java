package org.fawnvale.serving.http;

import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.model.NodeResponse;

/** Told of a node's answer to one request; called while holding the guard. */
public interface NodeResponseListener extends ResponseListener {

  /**
   * The head of the answer has come.
   *
   * @param answer the head
   * @param said what the node says with it
   */
  void head(HttpResponse answer, NodeResponse said);
}
