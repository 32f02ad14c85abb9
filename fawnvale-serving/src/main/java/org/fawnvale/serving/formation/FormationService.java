package org.fawnvale.serving.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.formation.GroupKey;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.GroupPlanner;
import org.fawnvale.serving.core.formation.LoadLimiter;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.formation.PlanPacing;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/** Runs the group planner while this daemon leads. All calls hold the guard. */
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
  private int planners;

  /**
   * Creates the service.
   *
   * @param settings the daemon's settings
   * @param peers who leads
   * @param client sends orders
   * @param platform makes the calls
   * @param incarnation the number of this start
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

  /** Forgets what was planned, since another daemon leads. */
  public void stopLeading() {
    planner = null;
  }

  /**
   * Tells whether groups are on their way or being taken apart.
   *
   * @return true while this daemon leads and there is such a group
   */
  public boolean isForming() {
    GroupPlanner current = planner;
    return current != null && current.isBusy();
  }

  /**
   * Tells whether there is anything new to decide on.
   *
   * @param shown the place that the list of nodes shows
   * @param suspected whether any daemon holds a head to be standing still
   * @return true when a plan may differ from the last one
   */
  public boolean isPlanDue(StorePosition shown, boolean suspected) {
    GroupPlanner current = planner;
    boolean busy = suspected || current == null || current.isBusy();
    return pacing.isDue(shown, busy, System.nanoTime());
  }

  /**
   * Makes and sends the orders that are due, while this daemon leads.
   *
   * @param nodes the nodes of the engine service
   * @param engine their arithmetic
   * @param demand how much of the fleet each model needs
   * @param witnesses what each live daemon tells of the heads
   * @param inSight data centres that this daemon reaches
   * @param resting ids of nodes that want nothing from this daemon for a while
   */
  public void planAndSend(
      Collection<Node> nodes,
      EngineSpec engine,
      ModelDemand demand,
      List<StallEvidence.Observation> witnesses,
      Set<String> inSight,
      Set<String> resting) {
    long now = System.nanoTime();
    GroupPlanner current = planner();
    Map<String, String> dataCentres = new HashMap<>();
    nodes.forEach(node -> dataCentres.put(node.id(), node.dataCentre()));
    Set<String> stalled = evidence.confirmed(witnesses, dataCentres, inSight, now);
    GroupPlanner.Input input =
        new GroupPlanner.Input(
            nodes, engine, demand, stalled, inSight, resting, peers.election().fence());
    List<GroupOrder> orders = current.plan(input, now);
    current.drainLogLines().forEach(LOG::info);
    for (GroupOrder order : orders) {
      if (order.kind() == GroupOrder.Kind.REPORT) {
        sender.report(
            order,
            held -> conclude(current, held, GroupOrder.Outcome.HELD),
            (question, report) -> learn(current, question, report));
      } else {
        sender.send(order, (sent, outcome) -> conclude(current, sent, outcome));
      }
    }
  }

  /** Bounds loads from the weight store, since callers' requests have come. */
  public void boundLoads() {
    limiter.enforce();
  }

  /** A new claim starts from what the nodes tell; it remembers nothing of the one before. */
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

  /** Numbered by planner, not by term: a daemon may lead the same term twice. */
  private String nextPrefix() {
    planners++;
    return settings.name() + "-" + Long.toString(incarnation, RADIX) + "-" + planners + "-";
  }

  private void learn(GroupPlanner current, GroupOrder question, @Nullable NodeReport report) {
    pacing.answered();
    current.report(question.node(), report, System.nanoTime());
  }

  private void conclude(GroupPlanner current, GroupOrder order, GroupOrder.Outcome outcome) {
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
   * Groups that began to serve a short while ago.
   *
   * @return the groups; empty when this daemon does not lead
   */
  public List<PeerMessage.ServingGroup> recentlyOpened() {
    GroupPlanner current = planner;
    List<PeerMessage.ServingGroup> opened = new ArrayList<>();
    if (current != null) {
      current.recent().opened().forEach((key, model) -> addOpened(opened, key, model));
    }
    return opened;
  }

  private static void addOpened(List<PeerMessage.ServingGroup> opened, GroupKey key, String model) {
    String head = key.head();
    if (head != null) {
      opened.add(new PeerMessage.ServingGroup(head, key.name(), key.epoch(), model));
    }
  }

  /**
   * Heads whose groups are being taken apart since a short while ago.
   *
   * @return the heads as {@code ID@EPOCH}; empty when this daemon does not lead
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
   * Orders sent so far.
   *
   * @return their number
   */
  public long sent() {
    return sender.sent();
  }
}
