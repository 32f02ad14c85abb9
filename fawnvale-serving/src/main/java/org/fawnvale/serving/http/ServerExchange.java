package org.fawnvale.serving.http;

import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;

/**
 * Handler of one request that also hears when its caller closes the connection. The library goes on
 * with a request whose caller has sent its end of the connection, since it may still read; these
 * callers never do so.
 */
public interface ServerExchange extends AsyncServerExchangeHandler {

  /**
   * Tells whether the request is whole and its answer is not.
   *
   * @return true while an answer is owed
   */
  boolean isResponsePending();

  /** The caller has closed the connection. */
  void callerClosed();
}
