package org.fawnvale.serving.http;

import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.fawnvale.serving.core.flow.CallerHolding;

/**
 * Handler of one request that is notified when its caller closes the connection. When a caller
 * closes its sending side, the library continues with the request, since the caller may still read.
 * The callers of this system never close only one side.
 */
public interface ServerExchange extends AsyncServerExchangeHandler {

  /**
   * Called once, before the request is handled.
   *
   * @param closeConnection closes the caller's connection at once, also when the caller does not
   *     read
   * @param holding what the caller's connection holds
   */
  void connected(Runnable closeConnection, CallerHolding holding);

  /**
   * Returns whether the request is complete and its response is not.
   *
   * @return true while the caller waits for the rest of the response
   */
  boolean isResponsePending();

  /**
   * Returns whether the exchange holds nothing any more: its response has been sent, or it failed.
   *
   * @return true once the connection is free for another request
   */
  boolean isEnded();

  /** Called when the connection is closed before the exchange has ended. */
  void callerClosed();
}
