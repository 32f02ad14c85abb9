package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.HeadPaces;
import org.fawnvale.serving.core.pace.PaceView;
import org.fawnvale.serving.formation.FormationService;
import org.fawnvale.serving.gateway.Gateway;

/**
 * Keeps the pace of heads up to date while {@code policy.pace} is on, and reports it as metrics and
 * log lines. Does nothing while it is off.
 */
final class PaceUpdates {

  private static final Logger LOG = LogManager.getLogger("pace");

  private final boolean enabled;
  private final HeadPaces paces = new HeadPaces();
  private Set<String> slowBefore = Set.of();

  /**
   * Creates the updates.
   *
   * @param enabled whether {@code policy.pace} is on
   * @param dispatcher chooses upstreams by pace
   * @param gateway observes the pace of heads
   * @param registry receives the metrics
   */
  PaceUpdates(boolean enabled, Dispatcher dispatcher, Gateway gateway, MeterRegistry registry) {
    this.enabled = enabled;
    if (enabled) {
      dispatcher.setPaces(paces);
      gateway.observePaces(paces);
      registry.gauge("fawnvale.pace.groups.slow", paces, known -> known.slowHeads().size());
      registry.gauge("fawnvale.pace.slowest", paces, HeadPaces::slowest);
    }
  }

  /** Returns the known paces; all normal while the policy is off. */
  PaceView view() {
    return enabled ? paces : PaceView.NORMAL;
  }

  /** Registers the leader's metrics of slow nodes. */
  void register(FormationService formation, MeterRegistry registry) {
    if (enabled) {
      registry.gauge("fawnvale.pace.nodes.slow", formation, FormationService::slowNodes);
      registry.gauge("fawnvale.pace.exchanges", formation, FormationService::paceExchanges);
      registry.gauge(
          "fawnvale.pace.exchanges.gain", formation, FormationService::nodesGainedByPace);
    }
  }

  /** Replaces the heads that serve, as in {@link HeadPaces#setHeads}. */
  void setHeads(Collection<Node> heads, long now) {
    if (enabled) {
      paces.setHeads(heads, now);
    }
  }

  /** Merges the paces that other daemons report, and logs which heads became slow or normal. */
  void update(Map<String, Double> peers, long now) {
    if (!enabled) {
      return;
    }
    paces.update(peers, now);
    Set<String> slow = paces.slowHeads();
    if (!slow.equals(slowBefore)) {
      for (String id : new TreeSet<>(slow)) {
        if (!slowBefore.contains(id)) {
          LOG.info("node={} pace={} outcome=slow", id, format(paces.of(id)));
        }
      }
      for (String id : new TreeSet<>(slowBefore)) {
        if (!slow.contains(id)) {
          LOG.info("node={} pace={} outcome=no_longer_slow", id, format(paces.of(id)));
        }
      }
      slowBefore = slow;
    }
  }

  private static String format(double pace) {
    return String.format(Locale.ROOT, "%.1f", pace);
  }

  /** Returns the paces to report to other daemons; empty while the policy is off. */
  Map<String, Double> reported() {
    return paces.reported();
  }

  /** Returns the ids of the heads that any daemon observes as slow. */
  Set<String> slowHeads() {
    return paces.slowHeads();
  }
}
