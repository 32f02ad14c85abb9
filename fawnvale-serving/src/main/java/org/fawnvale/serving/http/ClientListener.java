package org.fawnvale.serving.http;

import org.apache.hc.core5.http.HttpResponse;

/** Told of the answer to one request; called while holding the guard. */
public interface ClientListener extends ResponseListener {

  /**
   * The head of the answer has come.
   *
   * @param answer the head
   */
  void head(HttpResponse answer);
}
