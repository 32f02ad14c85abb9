package org.fawnvale.serving.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.http.CallerConnections;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.RequestLimits;

/**
 * The listener for callers, bound before the daemon is constructed. Early connections are accepted
 * and wait for the daemon; without the listener they would be refused, and each refused connection
 * consumes one of the caller's few attempts.
 */
public final class EarlyListener {

  private final HttpReactor reactor;
  private final CallerMemory memory;
  private final CallerConnections connections;
  private final CompletableFuture<Supplier<AsyncServerExchangeHandler>> handlers =
      new CompletableFuture<>();

  private EarlyListener(HttpReactor reactor, CallerMemory memory, int maxConnections) {
    this.reactor = reactor;
    this.memory = memory;
    this.connections = new CallerConnections(maxConnections, memory);
  }

  /**
   * Opens the listener.
   *
   * @param frontend the address for callers
   * @return the listener; its callers wait until {@link #serve} is called
   * @throws IllegalStateException when the address can't be bound
   */
  public static EarlyListener open(Endpoint frontend) {
    return open(frontend, Settings.CallerBuffers.DEFAULT);
  }

  /**
   * Opens the listener.
   *
   * @param frontend the address for callers
   * @param limits limits on what the daemon holds for callers
   * @return the listener; its callers wait until {@link #serve} is called
   * @throws IllegalStateException when the address can't be bound
   */
  public static EarlyListener open(Endpoint frontend, Settings.CallerBuffers limits) {
    CallerMemory memory = new CallerMemory(limits);
    HttpReactor reactor = HttpReactor.start(RequestLimits.DEFAULT_HEADER_BYTES, memory);
    EarlyListener listener = new EarlyListener(reactor, memory, limits.connections());
    reactor.listen(frontend, () -> listener.handlers.join().get(), listener.connections);
    return listener;
  }

  /** Returns the account of what callers hold. */
  CallerMemory memory() {
    return memory;
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
