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

/** Detects stalled heads by the pauses in their streams. */
final class StreamMonitor {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Dispatcher dispatcher;
  private final GatewayMetrics metrics;

  StreamMonitor(Dispatcher dispatcher, GatewayMetrics metrics) {
    this.dispatcher = dispatcher;
    this.metrics = metrics;
  }

  /**
   * Detects stalled heads and moves their streams to other upstreams.
   *
   * @param running requests in flight
   * @param configuration current configuration
   * @param peerSuspects ids of the heads that other daemons suspect of a stall
   */
  void check(Collection<Forwarder> running, Configuration configuration, Set<String> peerSuspects) {
    long now = System.nanoTime();
    for (Forwarder forwarder : List.copyOf(running)) {
      forwarder.updateReading(now);
      Node node = forwarder.upstream();
      if (node != null
          && forwarder.isStreaming()
          && !forwarder.isFinished()
          && !forwarder.isInputSuspended()) {
        long stallTimeout = stallTimeout(node, configuration);
        if (stallTimeout > 0) {
          checkHead(forwarder, node, stallTimeout, peerSuspects, now);
        }
      }
    }
  }

  private void checkHead(
      Forwarder forwarder, Node node, long stallTimeout, Set<String> peerSuspects, long now) {
    UpstreamState state = dispatcher.state(node.id());
    boolean suspectedByPeers = peerSuspects.contains(node.id());
    boolean suspected = suspectedByPeers || !dispatcher.isReachable(node);
    boolean stalled = StallDetector.isStalled(state, stallTimeout, suspected, now);
    if (stalled && !state.isSuspect()) {
      state.markSuspect(now);
      long silentMillis = (now - state.lastProgressNanos()) / NANOS_PER_MILLI;
      LOG.info(
          "node={} outcome=stands_still silent_ms={} patience_ms={} streams={} shared={}",
          node.id(),
          silentMillis,
          stallTimeout / NANOS_PER_MILLI,
          state.streaming(),
          suspectedByPeers);
    }
    if (state.isSuspect()) {
      forwarder.moveToAnotherUpstream("upstream stands still");
    }
  }

  private long stallTimeout(Node node, Configuration configuration) {
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

  void recordEvent(Node node, UpstreamState state, long now, long previous, boolean betweenEvents) {
    String model = node.model();
    metrics.event(model, betweenEvents, (now - previous) / NANOS_PER_MILLI);
  }
}
