package org.fawnvale.daemon.evidence;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjIntConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.readiness.PeerTimestampLog;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.peer.PeerService;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.FleetView;
import org.fawnvale.kernel.Service;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;

/**
 * Probes nodes, tells the other daemons of the data centre what was found, and hears from them.
 *
 * <p>What was found is sent when it changes; beats only renew it, so that they stay small.
 */
public final class EvidenceService implements Service {

  private static final Logger LOG = LogManager.getLogger("evidence");

  private final Context context;
  private final FleetState state;
  private final PeerService peers;
  private final ReadinessTable table;
  private final Prober prober;
  private final ObjIntConsumer<String> onLoad;
  private final Map<String, PeerTimestampLog> stamps = new ConcurrentHashMap<>();
  private final Map<String, HeardPeer> heard = new ConcurrentHashMap<>();
  private List<NodeReport> vouched = List.of();
  private long vouchVersion;

  private record HeardPeer(String incarnation, long atNanos, List<String> nodes) {}

  /**
   * Creates the service.
   *
   * @param context what every service needs
   * @param state tells the nodes
   * @param peers links to the other daemons
   * @param table takes the evidence
   * @param probe asks one node for its report
   * @param onLoad told the load that a node has reported
   */
  public EvidenceService(
      Context context,
      FleetState state,
      PeerService peers,
      ReadinessTable table,
      java.util.function.BiFunction<Node, Long, org.fawnvale.core.result.Result<NodeReport>> probe,
      ObjIntConsumer<String> onLoad) {
    this.context = context;
    this.state = state;
    this.peers = peers;
    this.table = table;
    this.onLoad = onLoad;
    this.prober = new Prober(context, probe::apply, this::beatSoon);
  }

  @Override
  public void start() {
    DaemonSettings.Timing timing = context.settings().timing();
    peers.on(Message.Beat.class, this::beatReceived);
    peers.on(Message.Vouches.class, this::vouchesReceived);
    peers.onDialed(this::introduce);
    state.onChange(this::distrustLeaving);
    every(timing.probeMillis(), this::probeRound);
    every(timing.beatMillis(), this::beat);
  }

  private void every(long millis, Runnable task) {
    context
        .scheduler()
        .scheduleWithFixedDelay(
            () -> context.executor().execute(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    // The scheduler and the links are stopped by their owners.
  }

  /**
   * Daemons of the data centre that beat, and this one.
   *
   * @return their names
   */
  public Set<String> liveDaemons() {
    long limit = TimeUnit.MILLISECONDS.toNanos(context.settings().timing().freshMillis());
    long now = context.nowNanos();
    Set<String> live = new HashSet<>();
    live.add(context.identity().daemon());
    heard.forEach(
        (name, peer) -> {
          if (now - peer.atNanos() <= limit) {
            live.add(name);
          }
        });
    return live;
  }

  private void probeRound() {
    List<Node> nodes = state.view().nodesOf(context.identity().dataCentre());
    prober.round(nodes, liveDaemons());
  }

  private void beatSoon() {
    context.executor().execute(this::beat);
  }

  private synchronized void beat() {
    long now = context.nowNanos();
    List<Prober.Found> found = prober.fresh(now);
    List<NodeReport> reports = new ArrayList<>();
    long oldest = now;
    int[] loads = new int[found.size()];
    for (int i = 0; i < loads.length; i++) {
      NodeReport report = found.get(i).report();
      loads[i] = report.running() + report.waiting();
      reports.add(report.withLoad(0));
      oldest = Math.min(oldest, found.get(i).startedNanos());
    }
    boolean changed = !reports.equals(vouched);
    Set<String> lost = Set.of();
    if (changed) {
      vouched = reports;
      vouchVersion++;
      lost = prober.takeLost();
      lost.forEach(node -> table.suspect(node, now));
      table.setReports(context.holder(), vouchVersion, reports);
    }
    table.renewReports(context.holder(), vouchVersion, oldest, loads);
    passLoads(reports, loads);
    for (Link link : peers.linksTo(context.identity().dataCentre())) {
      if (changed) {
        link.send(vouches(lost));
      }
      long echo = stampsOf(link).newestAt(oldest);
      link.send(new Message.Beat(now, echo, vouchVersion, state.revision(), loads));
    }
  }

  private void passLoads(List<NodeReport> reports, int[] loads) {
    for (int i = 0; i < loads.length; i++) {
      onLoad.accept(reports.get(i).node(), loads[i]);
    }
  }

  private synchronized void introduce(Link link) {
    if (link.peer().dataCentre().equals(context.identity().dataCentre())) {
      link.send(vouches(Set.of()));
      link.send(
          new Message.Beat(context.nowNanos(), 0, vouchVersion, state.revision(), new int[0]));
    }
  }

  private Message.Vouches vouches(Set<String> lost) {
    List<Message.Vouch> wire = new ArrayList<>();
    for (NodeReport report : vouched) {
      wire.add(
          new Message.Vouch(
              report.node(),
              report.incarnation(),
              report.replica(),
              report.generation(),
              report.version(),
              report.loadedVersion(),
              report.state().name()));
    }
    return new Message.Vouches(vouchVersion, wire, List.copyOf(lost));
  }

  private PeerTimestampLog stampsOf(Link link) {
    return stamps.computeIfAbsent(key(link), name -> new PeerTimestampLog());
  }

  private static String key(Link link) {
    return link.peer().daemon() + "/" + link.peer().incarnation();
  }

  private void beatReceived(Link link, Message.Beat beat) {
    if (!link.peer().dataCentre().equals(context.identity().dataCentre())) {
      return;
    }
    long now = context.nowNanos();
    stampsOf(link).add(beat.stamp(), now);
    List<String> nodes = hear(link, now);
    if (beat.echo() != 0) {
      table.renewReports(key(link), beat.vouchVersion(), beat.echo(), beat.loads());
    }
    int known = Math.min(nodes.size(), beat.loads().length);
    for (int i = 0; i < known; i++) {
      onLoad.accept(nodes.get(i), beat.loads()[i]);
    }
  }

  private List<String> hear(Link link, long now) {
    String incarnation = link.peer().incarnation();
    HeardPeer next =
        heard.compute(
            link.peer().daemon(),
            (name, before) -> {
              boolean same = before != null && before.incarnation().equals(incarnation);
              if (before != null && !same) {
                table.removeProber(name + "/" + before.incarnation());
                stamps.remove(name + "/" + before.incarnation());
              }
              return new HeardPeer(incarnation, now, same ? before.nodes() : List.of());
            });
    return next.nodes();
  }

  private void vouchesReceived(Link link, Message.Vouches vouches) {
    if (!link.peer().dataCentre().equals(context.identity().dataCentre())) {
      return;
    }
    long now = context.nowNanos();
    hear(link, now);
    List<NodeReport> reports = new ArrayList<>();
    List<String> nodes = new ArrayList<>();
    for (Message.Vouch vouch : vouches.nodes()) {
      toReport(vouch).ifPresent(reports::add);
      nodes.add(vouch.node());
    }
    vouches.lost().forEach(node -> table.suspect(node, now));
    table.setReports(key(link), vouches.version(), reports);
    heard.put(
        link.peer().daemon(), new HeardPeer(link.peer().incarnation(), now, List.copyOf(nodes)));
  }

  private static Optional<NodeReport> toReport(Message.Vouch vouch) {
    try {
      return Optional.of(
          new NodeReport(
              vouch.node(),
              vouch.incarnation(),
              vouch.replica(),
              vouch.generation(),
              vouch.version(),
              vouch.loaded(),
              NodeReport.State.valueOf(vouch.state()),
              0,
              0));
    } catch (IllegalArgumentException e) {
      LOG.warn("A peer reports an unknown state {} of {}.", vouch.state(), vouch.node());
      return Optional.empty();
    }
  }

  private void distrustLeaving(FleetView view) {
    Set<String> leaving = new HashSet<>();
    for (Node node : view.nodesOf(context.identity().dataCentre())) {
      if (node.leaving()) {
        leaving.add(node.name());
      }
    }
    table.setExcludedNodes(leaving);
  }
}
