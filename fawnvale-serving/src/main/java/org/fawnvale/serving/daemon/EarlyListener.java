package org.fawnvale.serving.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.http.CallerConnections;
import org.fawnvale.serving.http.HttpReactor;

/**
 * The listener for callers, bound before the daemon is constructed. Early connections are accepted
 * and wait for the daemon; without the listener they would be refused, and each refused connection
 * consumes one of the caller's few attempts.
 */
public final class EarlyListener {

  /** The maximum length of a header line, in bytes. */
  private static final int MAX_HEADER_BYTES = 65_536;

  private final HttpReactor reactor;
  private final CallerConnections connections = new CallerConnections();
  private final CompletableFuture<Supplier<AsyncServerExchangeHandler>> handlers =
      new CompletableFuture<>();

  private EarlyListener(HttpReactor reactor) {
    this.reactor = reactor;
  }

  /**
   * Opens the listener.
   *
   * @param frontend the address for callers
   * @return the listener; its callers wait until {@link #serve} is called
   * @throws IllegalStateException when the address can't be bound
   */
  public static EarlyListener open(Endpoint frontend) {
    EarlyListener listener = new EarlyListener(HttpReactor.start(MAX_HEADER_BYTES));
    listener.reactor.listen(frontend, () -> listener.handlers.join().get(), listener.connections);
    return listener;
  }

  /** The reactor, which the daemon also uses for all its other connections. */
  HttpReactor reactor() {
    return reactor;
  }

  /** Returns the open connections of callers. */
  CallerConnections connections() {
    return connections;
  }

  /**
   * Starts to process requests, including those that are already waiting.
   *
   * @param requestHandlers creates the handler of each request
   */
  void serve(Supplier<AsyncServerExchangeHandler> requestHandlers) {
    handlers.complete(requestHandlers);
  }
}
