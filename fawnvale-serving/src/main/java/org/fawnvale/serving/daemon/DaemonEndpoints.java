package org.fawnvale.serving.daemon;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.limit.LimitDesk;
import org.fawnvale.serving.limit.TrialDesk;
import org.fawnvale.serving.store.PeerCopyExchange;

/** What a daemon answers to the balancer, to those who read its figures, and to its peers. */
final class DaemonEndpoints {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final String readyPath;
  private final PrometheusMeterRegistry registry;
  private final PeerCopyExchange<Node> nodes;
  private final PeerCopyExchange<Configuration> configurations;
  private final LimitDesk limits;
  private final TrialDesk trials;

  DaemonEndpoints(
      String readyPath,
      PrometheusMeterRegistry registry,
      PeerCopyExchange<Node> nodes,
      PeerCopyExchange<Configuration> configurations,
      LimitDesk limits,
      TrialDesk trials) {
    this.readyPath = readyPath;
    this.registry = registry;
    this.nodes = nodes;
    this.configurations = configurations;
    this.limits = limits;
    this.trials = trials;
  }

  SimpleResponseHandler.Page ready(String target, boolean isReady) {
    if (!readyPath.equals(target)) {
      return new SimpleResponseHandler.Page(NOT_FOUND, new byte[0]);
    }
    return new SimpleResponseHandler.Page(isReady ? OK : UNAVAILABLE, new byte[0]);
  }

  SimpleResponseHandler.Page figures() {
    return new SimpleResponseHandler.Page(OK, registry.scrape().getBytes(StandardCharsets.UTF_8));
  }

  /** Gives a peer what it lacks of the store's objects, or leave for what is counted once. */
  SimpleResponseHandler.Page forPeers(String target) {
    byte[] copy = new byte[0];
    if (limits.isAskedBy(target)) {
      copy = limits.answer(target);
    } else if (trials.isAskedBy(target)) {
      copy = trials.answer(target);
    } else if (nodes.handles(target)) {
      copy = nodes.respond(target);
    } else if (configurations.handles(target)) {
      copy = configurations.respond(target);
    }
    return new SimpleResponseHandler.Page(copy.length == 0 ? UNAVAILABLE : OK, copy);
  }
}
