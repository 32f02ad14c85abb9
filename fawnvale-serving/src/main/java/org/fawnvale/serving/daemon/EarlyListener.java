package org.fawnvale.serving.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.http.HttpReactor;

/**
 * The listener for callers, bound before the daemon behind it is built. A connection to a port that
 * nobody listens at is refused, which costs its caller one of few tries; one that is accepted waits
 * for the daemon. After a loss of power all daemons start at once, on as little as 0.36 of a core.
 */
public final class EarlyListener {

  /** The longest line of a head, in bytes; callers' heads are far below. */
  private static final int MAX_HEADER_BYTES = 65_536;

  private final HttpReactor reactor;
  private final CompletableFuture<Supplier<AsyncServerExchangeHandler>> handlers =
      new CompletableFuture<>();

  private EarlyListener(HttpReactor reactor) {
    this.reactor = reactor;
  }

  /**
   * Begins to listen.
   *
   * @param frontend where callers connect
   * @return the listener, whose callers wait until {@link #serve} is called
   * @throws IllegalStateException when the address can't be bound
   */
  public static EarlyListener open(Endpoint frontend) {
    EarlyListener listener = new EarlyListener(HttpReactor.start(MAX_HEADER_BYTES));
    listener.reactor.listen(frontend, () -> listener.handlers.join().get());
    return listener;
  }

  /** The reactor, which carries everything else of the daemon too. */
  HttpReactor reactor() {
    return reactor;
  }

  /**
   * Lets the callers in.
   *
   * @param requestHandlers makes the handler of each request
   */
  void serve(Supplier<AsyncServerExchangeHandler> requestHandlers) {
    handlers.complete(requestHandlers);
  }
}
