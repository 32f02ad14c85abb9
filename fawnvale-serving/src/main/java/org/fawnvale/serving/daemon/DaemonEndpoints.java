package org.fawnvale.serving.daemon;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.limit.LimitPermitService;
import org.fawnvale.serving.limit.TrialPermitService;
import org.fawnvale.serving.store.PeerCopyExchange;

/** The daemon's HTTP endpoints for the balancer, for metrics and for queries of peers. */
final class DaemonEndpoints {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final String readyPath;
  private final PrometheusMeterRegistry registry;
  private final PeerCopyExchange<Node> nodes;
  private final PeerCopyExchange<Configuration> configurations;
  private final LimitPermitService limitPermits;
  private final TrialPermitService trialPermits;

  DaemonEndpoints(
      String readyPath,
      PrometheusMeterRegistry registry,
      PeerCopyExchange<Node> nodes,
      PeerCopyExchange<Configuration> configurations,
      LimitPermitService limitPermits,
      TrialPermitService trialPermits) {
    this.readyPath = readyPath;
    this.registry = registry;
    this.nodes = nodes;
    this.configurations = configurations;
    this.limitPermits = limitPermits;
    this.trialPermits = trialPermits;
  }

  /**
   * Opens the endpoints.
   *
   * @param peerQueries the address for queries of peers
   * @param lock held while a request is answered
   * @param isReady tells whether the daemon is ready for callers
   * @throws IllegalStateException if an address can't be bound
   */
  void listen(
      HttpReactor reactor,
      Settings settings,
      Endpoint peerQueries,
      Object lock,
      BooleanSupplier isReady) {
    reactor.listen(
        settings.ready(),
        () -> new SimpleResponseHandler(lock, target -> ready(target, isReady.getAsBoolean())));
    reactor.listen(settings.metrics(), () -> new SimpleResponseHandler(lock, target -> metrics()));
    reactor.listen(peerQueries, () -> new SimpleResponseHandler(lock, this::answerPeer));
  }

  private SimpleResponseHandler.Response ready(String target, boolean isReady) {
    if (!readyPath.equals(target)) {
      return new SimpleResponseHandler.Response(NOT_FOUND, new byte[0]);
    }
    return new SimpleResponseHandler.Response(isReady ? OK : UNAVAILABLE, new byte[0]);
  }

  private SimpleResponseHandler.Response metrics() {
    return new SimpleResponseHandler.Response(
        OK, registry.scrape().getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Answers a peer's query: for a newer copy of the store's objects, for a permit under a limit, or
   * for a permit to try a quarantined request.
   */
  private SimpleResponseHandler.Response answerPeer(String target) {
    byte[] body = new byte[0];
    if (limitPermits.handles(target)) {
      body = limitPermits.answer(target);
    } else if (trialPermits.handles(target)) {
      body = trialPermits.answer(target);
    } else if (nodes.handles(target)) {
      body = nodes.respond(target);
    } else if (configurations.handles(target)) {
      body = configurations.respond(target);
    }
    return new SimpleResponseHandler.Response(body.length == 0 ? UNAVAILABLE : OK, body);
  }
}
