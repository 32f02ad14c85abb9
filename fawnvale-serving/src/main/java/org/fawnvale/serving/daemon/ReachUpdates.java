package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.PeerMessage;
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

  private static final int PROBES_PER_ROUND = 3;
  private static final long PROBE_TIMEOUT_MILLIS = 300;
  private static final long NO_FENCE = 0;

  private final NodeClient client;
  private final Function<GroupOrder, Call> calls;
  private final UpstreamReach reach = new UpstreamReach(System.nanoTime());
  private final Random random = new Random();
  private UpstreamReach.State last = UpstreamReach.State.REACHED;
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
      reach.heard(node.id(), System.nanoTime());
    }
  }

  @Override
  public void failed(Node node, ResponseListener.Failure failure) {
    if (counts(node)) {
      boolean silent = failure == ResponseListener.Failure.SILENT;
      UpstreamReach.Failure kind =
          silent ? UpstreamReach.Failure.SILENT : UpstreamReach.Failure.DISCONNECTED;
      reach.failed(node.id(), kind, System.nanoTime());
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

  /** Returns how long ago an upstream was last heard, for the messages to other daemons. */
  int heardMillis() {
    long millis = TimeUnit.NANOSECONDS.toMillis(reach.silentNanos(System.nanoTime()));
    return reach.isAnyHeard() ? (int) Math.min(Integer.MAX_VALUE, millis) : PeerMessage.NOT_HEARD;
  }

  /** Sets when another daemon last heard an upstream, on the monotonic clock. */
  void setHeardElsewhere(long nanos) {
    reach.setHeardElsewhere(nanos);
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
   * @return whether the path was lost or has come back
   */
  boolean tick(
      @Nullable Configuration configuration,
      Supplier<Collection<Node>> engines,
      Collection<Node> nodes) {
    ServiceSpec service = configuration == null ? null : configuration.engineService();
    engineService = service == null ? "" : service.name();
    long now = System.nanoTime();
    reach.setUpstreamCount(nodes.size());
    UpstreamReach.State state = reach.update(now);
    if (state != UpstreamReach.State.REACHED && now - probedNanos >= PROBE_PAUSE_NANOS) {
      probedNanos = now;
      probe(engines.get(), nodes);
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
    return lost != (before == UpstreamReach.State.LOST);
  }

  /** Probes engines if there are any: their answer shows more than an accepted connection. */
  private void probe(Collection<Node> engines, Collection<Node> nodes) {
    List<Node> candidates = new ArrayList<>(engines.isEmpty() ? nodes : engines);
    Collections.shuffle(candidates, random);
    for (Node node : candidates.subList(0, Math.min(PROBES_PER_ROUND, candidates.size()))) {
      client.closeIdle(node.endpoint());
      client.probe(node.endpoint(), result -> probed(node, result, !engines.isEmpty()));
    }
  }

  private void probed(Node node, HttpClient.ProbeResult result, boolean isEngine) {
    if (result != HttpClient.ProbeResult.LISTENING) {
      failed(node, ResponseListener.Failure.UNREACHABLE);
    } else if (isEngine) {
      client.call(
          node,
          calls.apply(GroupOrder.reportQuery(node, NO_FENCE)),
          PROBE_TIMEOUT_MILLIS,
          reply -> reported(node, reply));
    } else {
      heard(node);
    }
  }

  /** An engine that has asked for a pause is sent nothing; that it accepts connections counts. */
  private void reported(Node node, BufferedCall.Reply reply) {
    boolean withheld =
        reply instanceof BufferedCall.Failed failed
            && failed.failure() == ResponseListener.Failure.HELD;
    if (withheld) {
      heard(node);
    }
  }
}
