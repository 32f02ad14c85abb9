package org.fawnvale.serving.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.formation.GroupKey;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.GroupPlanner;
import org.fawnvale.serving.core.formation.LoadLimiter;
import org.fawnvale.serving.core.formation.PlanPacing;
import org.fawnvale.serving.core.formation.ReportOutcome;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.formation.SuspectedHeads;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/** Runs the group planner while this daemon is the leader. Callers of the methods hold the lock. */
public final class FormationService {

  private static final Logger LOG = LogManager.getLogger("formation");
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int RADIX = 36;

  private final Settings settings;
  private final Peers peers;
  private final OrderSender sender;
  private final LoadLimiter limiter;
  private final long incarnation;
  private final StallEvidence evidence;
  private final PlanPacing pacing = new PlanPacing();
  private @Nullable GroupPlanner planner;
  private long plannerFence;
  private int plannerCount;

  /**
   * Creates the service.
   *
   * @param settings the daemon's settings
   * @param peers provides the leadership
   * @param client sends orders to nodes
   * @param platform encodes the orders
   * @param incarnation number of this start of the daemon
   */
  public FormationService(
      Settings settings, Peers peers, NodeClient client, Platform platform, long incarnation) {
    this.settings = settings;
    this.peers = peers;
    this.sender = new OrderSender(client, platform);
    this.limiter = new LoadLimiter(settings.bounds().loadWindowMillis() * NANOS_PER_MILLI);
    this.evidence = new StallEvidence(settings.policy().cutsAreNoDeaths());
    this.incarnation = incarnation;
    if (!settings.firstStart()) {
      limiter.enforce();
    }
  }

  /** Discards the planner because another daemon is the leader. */
  public void stopLeading() {
    planner = null;
  }

  /**
   * Returns whether any group is being formed or dissolved.
   *
   * @return true if this daemon is the leader and there is such a group
   */
  public boolean isForming() {
    GroupPlanner current = planner;
    return current != null && current.isBusy();
  }

  /**
   * Returns whether a new plan is due.
   *
   * @param listedPosition position in the store's history that the list of nodes reflects
   * @param suspected whether any daemon suspects a head of a stall
   * @return true if a plan may differ from the last one
   */
  public boolean isPlanDue(StorePosition listedPosition, boolean suspected) {
    GroupPlanner current = planner;
    boolean busy = suspected || current == null || current.isBusy();
    return pacing.isDue(listedPosition, busy, System.nanoTime());
  }

  /**
   * Plans groups and sends the orders that are due. Called while this daemon is the leader.
   *
   * @param nodes nodes of the engine service
   * @param engine timing parameters of the engine
   * @param demand share of the nodes that each model needs
   * @param witnesses observations of the heads by each live daemon
   * @param reachable data centres that this daemon reaches
   * @param paused ids of nodes in a Retry-After pause
   * @param evacuated data centres that the operator has evacuated
   * @param slowHeads ids of heads that any daemon observes as slow
   */
  public void planAndSend(
      Collection<Node> nodes,
      EngineSpec engine,
      ModelDemand demand,
      List<StallEvidence.Observation> witnesses,
      Set<String> reachable,
      Set<String> paused,
      Set<String> evacuated,
      Set<String> slowHeads) {
    long now = System.nanoTime();
    GroupPlanner current = planner();
    Map<String, String> dataCentres = new HashMap<>();
    nodes.forEach(node -> dataCentres.put(node.id(), node.dataCentre()));
    Set<String> confirmed = evidence.confirmed(witnesses, dataCentres, reachable, now);
    GroupPlanner.Input input =
        new GroupPlanner.Input(
            nodes,
            engine,
            demand,
            suspects(confirmed, witnesses),
            reachable,
            paused,
            peers.election().fence(),
            evacuated,
            slowOrSuspected(slowHeads, witnesses));
    List<GroupOrder> orders = current.plan(input, now);
    current.drainLogLines().forEach(LOG::info);
    boolean anySuspected = witnesses.stream().anyMatch(witness -> !witness.suspects().isEmpty());
    for (GroupOrder order : orders) {
      if (order.kind() == GroupOrder.Kind.REPORT) {
        requestReport(current, order, anySuspected);
      } else {
        sender.send(order, (sent, outcome) -> recordOutcome(current, sent, outcome));
      }
    }
  }

  private void requestReport(GroupPlanner current, GroupOrder order, boolean overNewConnection) {
    Consumer<GroupOrder> held = each -> recordOutcome(current, each, GroupOrder.Outcome.HELD);
    BiConsumer<GroupOrder, ReportOutcome> done =
        (reportOrder, result) -> recordReport(current, reportOrder, result);
    if (overNewConnection) {
      sender.reportOverNewConnection(order, held, done);
    } else {
      sender.report(order, held, done);
    }
  }

  private static SuspectedHeads suspects(
      Set<String> confirmed, List<StallEvidence.Observation> witnesses) {
    Set<String> suspected = new HashSet<>();
    Set<String> used = new HashSet<>();
    for (StallEvidence.Observation witness : witnesses) {
      suspected.addAll(witness.suspects());
      used.addAll(witness.busy());
    }
    return new SuspectedHeads(confirmed, suspected, used);
  }

  /** Heads that may be slow: a group that has just turned slow is suspected of a stall first. */
  private static Set<String> slowOrSuspected(
      Set<String> slowHeads, List<StallEvidence.Observation> witnesses) {
    Set<String> heads = new HashSet<>(slowHeads);
    for (StallEvidence.Observation witness : witnesses) {
      for (String headAtEpoch : witness.suspects()) {
        heads.add(headAtEpoch.substring(0, headAtEpoch.lastIndexOf('@')));
      }
    }
    return heads;
  }

  /**
   * Returns how many groups the leader does not dissolve as stalled since their members may only
   * pause; 0 if this daemon does not lead.
   */
  public int groupsHeldBack() {
    GroupPlanner current = planner;
    return current == null ? 0 : current.groupsHeldBack();
  }

  /** Returns how many nodes the leader knows to be slow; 0 if this daemon does not lead. */
  public int slowNodes() {
    GroupPlanner current = planner;
    return current == null ? 0 : current.slowNodes();
  }

  /** Returns how many exchanges for pace this leader has begun; 0 if this daemon does not lead. */
  public int paceExchanges() {
    GroupPlanner current = planner;
    return current == null ? 0 : current.paceExchanges();
  }

  /**
   * Returns the expected gain of this leader's exchanges for pace, in nodes of normal pace; 0 if
   * this daemon does not lead.
   */
  public double nodesGainedByPace() {
    GroupPlanner current = planner;
    return current == null ? 0 : current.nodesGainedByPace();
  }

  /**
   * Starts to limit the rate of loads from the weight store, because callers' requests have
   * arrived.
   */
  public void boundLoads() {
    limiter.enforce();
  }

  /**
   * Returns the planner of the current fence. A new fence gets a new planner, which starts from the
   * nodes' reports.
   */
  private GroupPlanner planner() {
    long fence = peers.election().fence();
    GroupPlanner current = planner;
    if (current == null || plannerFence != fence) {
      current =
          new GroupPlanner(
              nextPrefix(),
              settings.bounds().stallMillis() * NANOS_PER_MILLI,
              limiter,
              settings.policy());
      planner = current;
      plannerFence = fence;
      LOG.info("term={} fence={} outcome=leads", peers.election().term(), fence);
    }
    return current;
  }

  /**
   * Returns the group name prefix of a new planner. It counts planners since a daemon may lead
   * twice in one term.
   */
  private String nextPrefix() {
    plannerCount++;
    return settings.name() + "-" + Long.toString(incarnation, RADIX) + "-" + plannerCount + "-";
  }

  private void recordReport(GroupPlanner current, GroupOrder reportOrder, ReportOutcome outcome) {
    pacing.answered();
    current.report(reportOrder.node(), outcome, System.nanoTime());
  }

  private void recordOutcome(GroupPlanner current, GroupOrder order, GroupOrder.Outcome outcome) {
    long now = System.nanoTime();
    pacing.answered();
    current.outcome(order, outcome, now);
    boolean fencedByOther =
        outcome == GroupOrder.Outcome.FENCED && order.fence() == peers.election().fence();
    if (fencedByOther) {
      LOG.warn("fence={} node={} outcome=refused_as_too_low", order.fence(), order.node().id());
      peers.election().fenceRejected(now);
    }
  }

  /**
   * Returns the groups that have recently started to serve.
   *
   * @return groups; empty if this daemon is not the leader
   */
  public List<PeerMessage.ServingGroup> recentlyOpened() {
    GroupPlanner current = planner;
    List<PeerMessage.ServingGroup> opened = new ArrayList<>();
    if (current != null) {
      current.recent().opened().forEach((key, model) -> addRecentlyOpened(opened, key, model));
    }
    return opened;
  }

  private static void addRecentlyOpened(
      List<PeerMessage.ServingGroup> opened, GroupKey key, String model) {
    String head = key.head();
    if (head != null) {
      opened.add(new PeerMessage.ServingGroup(head, key.name(), key.epoch(), model));
    }
  }

  /**
   * Returns the heads whose groups have recently started to dissolve.
   *
   * @return heads as {@code ID@EPOCH}; empty if this daemon is not the leader
   */
  public List<String> recentlyClosed() {
    GroupPlanner current = planner;
    List<String> closed = new ArrayList<>();
    if (current != null) {
      current.recent().closed().forEach(key -> closed.add(key.headAtEpoch()));
    }
    return closed;
  }

  /**
   * Returns the number of orders sent.
   *
   * @return number of orders, without requests for reports
   */
  public long ordersSent() {
    return sender.ordersSent();
  }
}
