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
 * Probes nodes and exchanges the nodes' reports with the other daemons of the data centre.
 *
 * <p>A daemon sends its reports only when they change. Its periodic heartbeats renew the last
 * reports and carry the nodes' loads instead of whole reports, which keeps them small.
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
  private final Map<String, PeerContact> contacts = new ConcurrentHashMap<>();
  private List<NodeReport> sentReports = List.of();
  private long vouchVersion;

  private record PeerContact(String incarnation, long atNanos, List<String> nodes) {}

  /**
   * Creates the service.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param state supplies the listed nodes
   * @param peers the links to the other daemons
   * @param table receives the reports of this daemon and of its peers
   * @param probe requests one node's report within a timeout in milliseconds
   * @param onLoad receives a node's name and its running plus waiting requests
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
    this.prober = new Prober(context, probe::apply, this::scheduleHeartbeat);
  }

  @Override
  public void start() {
    DaemonSettings.Timing timing = context.settings().timing();
    peers.on(Message.Beat.class, this::heartbeatReceived);
    peers.on(Message.Vouches.class, this::vouchesReceived);
    peers.onDialed(this::sendCurrentReports);
    state.onChange(this::excludeLeavingNodes);
    every(timing.probeMillis(), this::probeNodes);
    every(timing.beatMillis(), this::sendHeartbeat);
  }

  private void every(long millis, Runnable task) {
    context
        .scheduler()
        .scheduleWithFixedDelay(
            () -> context.executor().execute(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    // The daemon stops the scheduler; the peer service closes the links.
  }

  /**
   * Returns this daemon and the daemons of its data centre that sent a message recently.
   *
   * @return the names of the daemons
   */
  public Set<String> liveDaemons() {
    long limit = TimeUnit.MILLISECONDS.toNanos(context.settings().timing().freshMillis());
    long now = context.nowNanos();
    Set<String> live = new HashSet<>();
    live.add(context.identity().daemon());
    contacts.forEach(
        (name, peer) -> {
          if (now - peer.atNanos() <= limit) {
            live.add(name);
          }
        });
    return live;
  }

  private void probeNodes() {
    List<Node> nodes = state.view().nodesOf(context.identity().dataCentre());
    prober.probeAll(nodes, liveDaemons());
  }

  private void scheduleHeartbeat() {
    context.executor().execute(this::sendHeartbeat);
  }

  private synchronized void sendHeartbeat() {
    long now = context.nowNanos();
    List<Prober.ProbeReport> probed = prober.fresh(now);
    List<NodeReport> reports = new ArrayList<>();
    long oldest = now;
    int[] loads = new int[probed.size()];
    for (int i = 0; i < loads.length; i++) {
      NodeReport report = probed.get(i).report();
      loads[i] = report.running() + report.waiting();
      reports.add(report.withLoad(0));
      oldest = Math.min(oldest, probed.get(i).startedNanos());
    }
    boolean changed = !reports.equals(sentReports);
    Set<String> lost = Set.of();
    if (changed) {
      sentReports = reports;
      vouchVersion++;
      lost = prober.takeLost();
      lost.forEach(node -> table.suspect(node, now));
      table.setReports(context.holder(), vouchVersion, reports);
    }
    table.renewReports(context.holder(), vouchVersion, oldest, loads);
    reportLoads(reports, loads);
    for (Link link : peers.linksTo(context.identity().dataCentre())) {
      if (changed) {
        link.send(vouches(lost));
      }
      long echo = stampsOf(link).newestAt(oldest);
      link.send(new Message.Beat(now, echo, vouchVersion, state.revision(), loads));
    }
  }

  private void reportLoads(List<NodeReport> reports, int[] loads) {
    for (int i = 0; i < loads.length; i++) {
      onLoad.accept(reports.get(i).node(), loads[i]);
    }
  }

  private synchronized void sendCurrentReports(Link link) {
    if (link.peer().dataCentre().equals(context.identity().dataCentre())) {
      link.send(vouches(Set.of()));
      link.send(
          new Message.Beat(context.nowNanos(), 0, vouchVersion, state.revision(), new int[0]));
    }
  }

  private Message.Vouches vouches(Set<String> lost) {
    List<Message.Vouch> wire = new ArrayList<>();
    for (NodeReport report : sentReports) {
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

  private void heartbeatReceived(Link link, Message.Beat beat) {
    if (!link.peer().dataCentre().equals(context.identity().dataCentre())) {
      return;
    }
    long now = context.nowNanos();
    stampsOf(link).add(beat.stamp(), now);
    List<String> nodes = recordContact(link, now);
    if (beat.echo() != 0) {
      table.renewReports(key(link), beat.vouchVersion(), beat.echo(), beat.loads());
    }
    int known = Math.min(nodes.size(), beat.loads().length);
    for (int i = 0; i < known; i++) {
      onLoad.accept(nodes.get(i), beat.loads()[i]);
    }
  }

  private List<String> recordContact(Link link, long now) {
    String incarnation = link.peer().incarnation();
    PeerContact next =
        contacts.compute(
            link.peer().daemon(),
            (name, before) -> {
              boolean same = before != null && before.incarnation().equals(incarnation);
              if (before != null && !same) {
                table.removeProber(name + "/" + before.incarnation());
                stamps.remove(name + "/" + before.incarnation());
              }
              return new PeerContact(incarnation, now, same ? before.nodes() : List.of());
            });
    return next.nodes();
  }

  private void vouchesReceived(Link link, Message.Vouches vouches) {
    if (!link.peer().dataCentre().equals(context.identity().dataCentre())) {
      return;
    }
    long now = context.nowNanos();
    recordContact(link, now);
    List<NodeReport> reports = new ArrayList<>();
    List<String> nodes = new ArrayList<>();
    for (Message.Vouch vouch : vouches.nodes()) {
      toReport(vouch).ifPresent(reports::add);
      nodes.add(vouch.node());
    }
    vouches.lost().forEach(node -> table.suspect(node, now));
    table.setReports(key(link), vouches.version(), reports);
    contacts.put(
        link.peer().daemon(), new PeerContact(link.peer().incarnation(), now, List.copyOf(nodes)));
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
      LOG.warn(
          "A peer reports the unknown state {} for node {}; the report is ignored.",
          vouch.state(),
          vouch.node());
      return Optional.empty();
    }
  }

  private void excludeLeavingNodes(FleetView view) {
    Set<String> leaving = new HashSet<>();
    for (Node node : view.nodesOf(context.identity().dataCentre())) {
      if (node.leaving()) {
        leaving.add(node.name());
      }
    }
    table.setExcludedNodes(leaving);
  }
}
