package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.StallDetector;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;

/** Detects from the pauses of streams that a head stands still. */
final class StreamMonitor {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Dispatcher dispatcher;
  private final GatewayMetrics figures;

  StreamMonitor(Dispatcher dispatcher, GatewayMetrics figures) {
    this.dispatcher = dispatcher;
    this.figures = figures;
  }

  /**
   * Looks for heads that stand still, and takes their streams up elsewhere.
   *
   * @param running the requests under way
   * @param configuration the configuration in force
   * @param peerSuspects heads that other daemons hold to be standing still
   */
  void look(Collection<Forwarder> running, Configuration configuration, Set<String> peerSuspects) {
    long now = System.nanoTime();
    for (Forwarder forwarder : List.copyOf(running)) {
      Node node = forwarder.upstream();
      if (node != null && forwarder.streams() && !forwarder.isOver()) {
        long patience = patience(node, configuration);
        if (patience > 0) {
          judge(forwarder, node, patience, peerSuspects, now);
        }
      }
    }
  }

  private void judge(
      Forwarder forwarder, Node node, long patience, Set<String> peerSuspects, long now) {
    UpstreamState state = dispatcher.state(node.id());
    boolean shared = peerSuspects.contains(node.id());
    boolean doubted = shared || !dispatcher.isReachable(node);
    boolean stalled = StallDetector.isStalled(state, patience, doubted, now);
    if (stalled && !state.isSuspect()) {
      state.markSuspect(now);
      long silent = (now - state.lastProgressNanos()) / NANOS_PER_MILLI;
      LOG.info(
          "node={} outcome=stands_still silent_ms={} patience_ms={} streams={} shared={}",
          node.id(),
          silent,
          patience / NANOS_PER_MILLI,
          state.streaming(),
          shared);
    }
    if (state.isSuspect()) {
      forwarder.moveAway("upstream stands still");
    }
  }

  private long patience(Node node, Configuration configuration) {
    ServiceSpec service = configuration.services().get(node.service());
    EngineSpec engine = service == null ? null : service.engine();
    String modelName = node.model();
    ModelSpec model = engine == null || modelName == null ? null : engine.model(modelName);
    if (engine == null || model == null) {
      return 0;
    }
    int load = (int) Math.ceil(dispatcher.load(node) * node.slots());
    return StallDetector.timeoutNanos(engine, model, load);
  }

  void sawEvent(Node node, UpstreamState state, long now, long before, boolean between) {
    String model = node.model();
    figures.event(model, between, (now - before) / NANOS_PER_MILLI);
  }
}
