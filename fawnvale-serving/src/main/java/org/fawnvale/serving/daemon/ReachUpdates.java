package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.fawnvale.serving.core.reach.UpstreamReach;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.ReachListener;
import org.fawnvale.serving.http.ResponseListener;
import org.fawnvale.serving.spi.Call;
import org.jspecify.annotations.Nullable;

/**
 * Watches whether this daemon reaches upstreams. While that is in doubt, it probes some, over new
 * connections, since open ones may be silent. Reports changes as a metric and log lines.
 */
final class ReachUpdates implements ReachListener, UpstreamPath {

  private static final Logger LOG = LogManager.getLogger("reach");

  /** Pause between two rounds of probes, in nanoseconds. */
  private static final long PROBE_PAUSE_NANOS = 250_000_000L;

  /** How long a daemon that is asked must have heard nobody before it probes, in nanoseconds. */
  private static final long QUIET_NANOS = PathReport.HEARD_MILLIS * 1_000_000L;

  private static final int PROBES_PER_ROUND = 3;
  private static final long PROBE_TIMEOUT_MILLIS = 300;
  private static final long NO_FENCE = 0;
  private static final PathReport ASKING = new PathReport(true, List.of());

  private final NodeClient client;
  private final Function<GroupOrder, Call> calls;
  private final UpstreamReach reach = new UpstreamReach(System.nanoTime());
  private final Random random = new Random();
  private UpstreamReach.State last = UpstreamReach.State.REACHED;
  private final Map<String, Long> heardNanos = new HashMap<>();
  private final Set<String> probed = new HashSet<>();
  private Map<String, Long> heardElsewhere = Map.of();
  private long probedNanos;
  private String engineService = "";

  /**
   * Creates the watch of a daemon.
   *
   * @param client sends the probes
   * @param calls the calls that orders are sent as, those for reports too
   * @param registry receives the metric
   */
  ReachUpdates(NodeClient client, Function<GroupOrder, Call> calls, MeterRegistry registry) {
    this.client = client;
    this.calls = calls;
    registry.gauge("fawnvale.upstreams.lost", this, updates -> updates.isLost() ? 1 : 0);
  }

  @Override
  public void heard(Node node) {
    if (counts(node)) {
      long now = System.nanoTime();
      heardNanos.put(node.id(), now);
      reach.heard(node.id(), now);
    }
  }

  @Override
  public void failed(Node node, ResponseListener.Failure failure) {
    if (counts(node)) {
      reach.failed(node.id(), kindOf(failure), System.nanoTime());
    }
  }

  /**
   * Returns whether a node shows this daemon's path. Where there are engines, only they do: a plain
   * node that is still reached must not hide that no engine is, again and again.
   */
  private boolean counts(Node node) {
    return engineService.isEmpty() || engineService.equals(node.service());
  }

  @Override
  public boolean isLost() {
    return last == UpstreamReach.State.LOST;
  }

  @Override
  public boolean isHeardElsewhere() {
    return reach.isHeardElsewhere();
  }

  /**
   * Returns the report for the messages to other daemons.
   *
   * @param isAsked whether another daemon asks which upstreams this one hears
   */
  PathReport report(boolean isAsked) {
    long since = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(PathReport.HEARD_MILLIS);
    if (!isAsked) {
      return isDoubtful() ? ASKING : PathReport.SOUND;
    }
    heardNanos.values().removeIf(nanos -> nanos - since < 0);
    return new PathReport(isDoubtful(), List.copyOf(heardNanos.keySet()));
  }

  /** Sets which upstreams other daemons have heard, as {@link UpstreamReach} takes them. */
  void setHeardElsewhere(Map<String, Long> nanosByNode) {
    heardElsewhere = nanosByNode;
    reach.setHeardElsewhere(nanosByNode);
  }

  @Override
  public boolean isDoubtful() {
    return reach.update(System.nanoTime()) != UpstreamReach.State.REACHED;
  }

  /**
   * Records a regular tick, and probes upstreams if the path is in doubt.
   *
   * @param configuration the configuration in force; null before there is one
   * @param engines supplies the nodes that form groups, which answer queries for their report
   * @param nodes all nodes that are known
   * @param isAsked whether another daemon asks which upstreams this one hears; one that hears none
   *     probes some
   * @return whether peers should learn of a change at once
   */
  boolean tick(
      @Nullable Configuration configuration,
      Supplier<Collection<Node>> engines,
      Collection<Node> nodes,
      boolean isAsked) {
    ServiceSpec service = configuration == null ? null : configuration.engineService();
    engineService = service == null ? "" : service.name();
    long now = System.nanoTime();
    reach.setUpstreamCount(nodes.size());
    UpstreamReach.State state = reach.update(now);
    if (state != UpstreamReach.State.REACHED || isAsked && reach.silentNanos(now) > QUIET_NANOS) {
      probe(engines, nodes, now);
    }
    UpstreamReach.State before = last;
    last = state;
    if (state != before) {
      LOG.info(
          "failed={} disconnected={} silent_ms={} outcome={}",
          reach.failedCount(),
          reach.disconnectedCount(),
          TimeUnit.NANOSECONDS.toMillis(reach.silentNanos(now)),
          state);
    }
    boolean lost = state == UpstreamReach.State.LOST;
    boolean asks = before == UpstreamReach.State.REACHED && state != before;
    return asks || lost != (before == UpstreamReach.State.LOST);
  }

  /**
   * Probes engines if there are any: their answer shows more than an accepted connection. Those
   * that other daemons hear are probed as soon as they are known.
   */
  private void probe(Supplier<Collection<Node>> engines, Collection<Node> nodes, long now) {
    boolean roundIsDue = now - probedNanos >= PROBE_PAUSE_NANOS;
    if (!roundIsDue && probed.containsAll(heardElsewhere.keySet())) {
      return;
    }
    Collection<Node> listed = engines.get();
    List<Node> candidates = new ArrayList<>(listed.isEmpty() ? nodes : listed);
    if (roundIsDue) {
      probedNanos = now;
      probed.clear();
      Collections.shuffle(candidates, random);
      candidates.stream().limit(PROBES_PER_ROUND).forEach(node -> probe(node, !listed.isEmpty()));
    }
    candidates.stream()
        .filter(node -> heardElsewhere.containsKey(node.id()) && !probed.contains(node.id()))
        .limit(PROBES_PER_ROUND)
        .forEach(node -> probe(node, !listed.isEmpty()));
    probed.addAll(heardElsewhere.keySet());
  }

  private void probe(Node node, boolean isEngine) {
    probed.add(node.id());
    long sentNanos = System.nanoTime();
    client.closeIdle(node.endpoint());
    client.probe(node.endpoint(), result -> connected(node, result, isEngine, sentNanos));
  }

  private void connected(
      Node node, HttpClient.ProbeResult result, boolean isEngine, long sentNanos) {
    if (result != HttpClient.ProbeResult.LISTENING) {
      probeFailed(node, UpstreamReach.Failure.DISCONNECTED, sentNanos);
    } else if (isEngine) {
      client.call(
          node,
          calls.apply(GroupOrder.reportQuery(node, NO_FENCE)),
          PROBE_TIMEOUT_MILLIS,
          reply -> reported(node, reply, sentNanos));
    } else {
      heard(node);
    }
  }

  private void probeFailed(Node node, UpstreamReach.Failure failure, long sentNanos) {
    if (counts(node)) {
      reach.probeFailed(node.id(), failure, sentNanos, System.nanoTime());
    }
  }

  /** An engine that has asked for a pause is sent nothing; that it accepts connections counts. */
  private void reported(Node node, BufferedCall.Reply reply, long sentNanos) {
    if (!(reply instanceof BufferedCall.Failed failed)) {
      return;
    }
    if (failed.failure() == ResponseListener.Failure.HELD) {
      heard(node);
    } else {
      probeFailed(node, kindOf(failed.failure()), sentNanos);
    }
  }

  private static UpstreamReach.Failure kindOf(ResponseListener.Failure failure) {
    return failure == ResponseListener.Failure.SILENT
        ? UpstreamReach.Failure.SILENT
        : UpstreamReach.Failure.DISCONNECTED;
  }
}
