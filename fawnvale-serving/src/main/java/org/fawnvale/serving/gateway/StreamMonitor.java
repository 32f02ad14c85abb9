package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
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

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long a stream waits for an upstream that was heard since its own fell silent. */
  private static final long HEARD_TARGET_NANOS = 500 * NANOS_PER_MILLI;

  private final Dispatcher dispatcher;
  private final GatewayMetrics metrics;
  private final SilenceMonitor silences;
  private @Nullable HeadPaces paces;
  private @Nullable Configuration configuration;

  /**
   * Creates a monitor.
   *
   * @param silences finds out why the streams of a head are silent
   */
  StreamMonitor(Dispatcher dispatcher, GatewayMetrics metrics, SilenceMonitor silences) {
    this.dispatcher = dispatcher;
    this.metrics = metrics;
    this.silences = silences;
  }

  /** Starts to observe the pace of heads. */
  void observe(HeadPaces observed) {
    paces = observed;
  }

  /**
   * Detects stalled heads and sends their streams to other upstreams too. Streams of slow heads are
   * sent when their next event is overdue.
   *
   * @param running requests in flight
   * @param current current configuration
   * @param peerSuspects ids of the heads that other daemons suspect of a stall
   */
  void check(Collection<Forwarder> running, Configuration current, Set<String> peerSuspects) {
    configuration = current;
    long now = System.nanoTime();
    silences.beginRound(now);
    for (Forwarder forwarder : List.copyOf(running)) {
      forwarder.run(() -> check(forwarder, peerSuspects, now));
    }
  }

  private void check(Forwarder forwarder, Set<String> peerSuspects, long now) {
    AttemptsInFlight inFlight = forwarder.inFlight();
    inFlight.updateReading(now);
    if (forwarder.isStreaming() && !forwarder.isFinished() && !inFlight.isInputSuspended()) {
      inFlight.nodes().forEach(node -> checkSilence(node, peerSuspects, now));
      moveIfNeeded(forwarder, now);
    }
  }

  private void checkSilence(Node node, Set<String> peerSuspects, long now) {
    long stallTimeout = stallTimeout(node);
    if (stallTimeout > 0) {
      boolean suspectedElsewhere =
          peerSuspects.contains(node.id()) || !dispatcher.isReachable(node);
      silences.check(node, new SilenceMonitor.Silence(stallTimeout, suspectedElsewhere), now);
    }
  }

  private void moveIfNeeded(Forwarder forwarder, long now) {
    Node node = forwarder.inFlight().node();
    if (node == null || stallTimeout(node) == 0) {
      return;
    }
    UpstreamState state = dispatcher.state(node.id());
    if (state.isSuspect()) {
      forwarder.moveToAnotherUpstream("upstream stands still", unlikelyTargets(node, state, now));
    } else if (forwarder.inFlight().isLeftBehind()) {
      forwarder.moveToAnotherUpstream("its group was dissolved", Set.of());
    } else if (dispatcher.isSlow(node)
        && !state.isPaused()
        && forwarder.inFlight().isOverdue(now)) {
      forwarder.moveToAnotherUpstream("upstream is slow", Set.of());
    }
  }

  /**
   * Returns the heads to which a stream is not moved: from one that is silent to one that may be as
   * silent. Not for ever, since a daemon with few streams may hear no other head.
   */
  private Set<String> unlikelyTargets(Node node, UpstreamState state, long now) {
    boolean mayWait = now - state.suspectSinceNanos() < HEARD_TARGET_NANOS;
    boolean onlySilent = state.isStalled() && dispatcher.serves(node);
    return mayWait && onlySilent
        ? HeardUpstreams.unheard(dispatcher.statesBeside(node), state, now)
        : Set.of();
  }

  /** Returns how long a working head may be silent, in nanoseconds; 0 if it is no head. */
  private long stallTimeout(Node node) {
    Configuration current = configuration;
    EngineSpec engine = current == null ? null : engine(node, current);
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
