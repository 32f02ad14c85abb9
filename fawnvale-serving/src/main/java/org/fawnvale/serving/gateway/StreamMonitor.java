package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.HeardUpstreams;
import org.fawnvale.serving.core.dispatch.StallDetector;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.pace.HeadPaces;
import org.jspecify.annotations.Nullable;

/** Detects stalled and slow heads by the pauses in their streams. */
final class StreamMonitor {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Dispatcher dispatcher;
  private final GatewayMetrics metrics;
  private final Consumer<Node> onSilence;
  private @Nullable HeadPaces paces;
  private @Nullable Configuration configuration;

  /**
   * Creates a monitor.
   *
   * @param onSilence receives each head when its streams stand still
   */
  StreamMonitor(Dispatcher dispatcher, GatewayMetrics metrics, Consumer<Node> onSilence) {
    this.dispatcher = dispatcher;
    this.metrics = metrics;
    this.onSilence = onSilence;
  }

  /** Starts to observe the pace of heads. */
  void observe(HeadPaces observed) {
    paces = observed;
  }

  /**
   * Detects stalled heads and moves their streams to other upstreams. Streams of slow heads are
   * moved when their next event is overdue.
   *
   * @param running requests in flight
   * @param current current configuration
   * @param peerSuspects ids of the heads that other daemons suspect of a stall
   */
  void check(Collection<Forwarder> running, Configuration current, Set<String> peerSuspects) {
    configuration = current;
    long now = System.nanoTime();
    for (Forwarder forwarder : List.copyOf(running)) {
      forwarder.updateReading(now);
      Node node = forwarder.upstream();
      if (node != null
          && forwarder.isStreaming()
          && !forwarder.isFinished()
          && !forwarder.isInputSuspended()) {
        long stallTimeout = stallTimeout(node, current);
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
      onSilence.accept(node);
      long silentMillis = (now - state.lastProgressNanos()) / NANOS_PER_MILLI;
      HeardUpstreams others = dispatcher.heardBeside(node);
      LOG.info(
          "node={} outcome=stands_still silent_ms={} patience_ms={} streams={} shared={}"
              + " others_heard={} others_in_use={}",
          node.id(),
          silentMillis,
          stallTimeout / NANOS_PER_MILLI,
          state.streaming(),
          suspectedByPeers,
          others.heard(),
          others.inUse());
    }
    if (state.isSuspect()) {
      forwarder.moveToAnotherUpstream("upstream stands still");
    } else if (dispatcher.isSlow(node) && forwarder.isOverdue(now)) {
      forwarder.moveToAnotherUpstream("upstream is slow");
    }
  }

  private long stallTimeout(Node node, Configuration current) {
    EngineSpec engine = engine(node, current);
    ModelSpec model = engine == null ? null : model(node, engine);
    if (engine == null || model == null) {
      return 0;
    }
    HeadPaces known = paces;
    double pace = known == null ? 1 : known.of(node.id());
    return StallDetector.timeoutNanos(engine, model, requestsAt(node), pace);
  }

  private static @Nullable EngineSpec engine(Node node, Configuration current) {
    ServiceSpec service = current.services().get(node.service());
    return service == null ? null : service.engine();
  }

  private static @Nullable ModelSpec model(Node node, EngineSpec engine) {
    String modelName = node.model();
    return modelName == null ? null : engine.model(modelName);
  }

  /** The requests of all daemons in flight at a head. */
  private int requestsAt(Node node) {
    return (int) Math.ceil(dispatcher.load(node) * node.slots());
  }

  void recordEvent(Node node, UpstreamState state, long now, long previous, boolean betweenEvents) {
    String model = node.model();
    metrics.event(model, betweenEvents, (now - previous) / NANOS_PER_MILLI);
    HeadPaces observed = paces;
    if (observed != null && betweenEvents) {
      recordPause(observed, node, now, now - previous);
    }
  }

  /**
   * Records a pause relative to a pass of a full batch that also prefills a usual prompt. The known
   * number of requests in flight is out of date in a burst, and heads with full batches would look
   * slow. Records nothing before the first check, since a daemon that has just started reads late.
   */
  private void recordPause(HeadPaces observed, Node node, long now, long pauseNanos) {
    Configuration current = configuration;
    EngineSpec engine = current == null ? null : engine(node, current);
    ModelSpec model = engine == null ? null : model(node, engine);
    if (engine != null && model != null) {
      double pass =
          EngineTimes.passMillis(engine, model, engine.slots())
              + EngineTimes.prefillMillis(engine, model, engine.usual().promptTokens());
      observed.recordEvent(node, pauseNanos, pass, now);
    }
  }
}
