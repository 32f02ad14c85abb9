package org.fawnvale.serving.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.peer.DaemonState;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.MessageRouting;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.peer.PeerReports;
import org.fawnvale.serving.formation.FormationService;
import org.fawnvale.serving.gateway.Gateway;
import org.fawnvale.serving.peer.Peers;

/**
 * Assembles the state that this daemon reports to its peers, and applies what they report to the
 * dispatcher and the gateway. Callers hold the lock.
 */
final class PeerStateExchange {

  /**
   * How long a daemon receives peer messages before it may lead. Daemons that start at the same
   * time process each other's first messages late: with 0.9 s, four of 78 led at once.
   */
  private static final long SETTLE_NANOS = 2_000_000_000L;

  private final Policy policy;
  private final long startedNanos;
  private final Peers peers;
  private final SharedStateUpdates sharedUpdates;
  private final FormationService formation;
  private final Gateway gateway;
  private final Dispatcher dispatcher;
  private final ClusterView clusterView;
  private final HeadSuspicions suspicions;
  private final ReachUpdates reach;
  private final PaceUpdates paces;
  private final ShortageUpdates shortage;

  /**
   * Creates the exchange of a daemon that has just started.
   *
   * @param startedNanos when it started, in monotonic time
   */
  PeerStateExchange(
      Policy policy,
      long startedNanos,
      Peers peers,
      SharedStateUpdates sharedUpdates,
      FormationService formation,
      Gateway gateway,
      Dispatcher dispatcher,
      ClusterView clusterView,
      HeadSuspicions suspicions,
      ReachUpdates reach,
      PaceUpdates paces,
      ShortageUpdates shortage) {
    this.policy = policy;
    this.startedNanos = startedNanos;
    this.peers = peers;
    this.sharedUpdates = sharedUpdates;
    this.formation = formation;
    this.gateway = gateway;
    this.dispatcher = dispatcher;
    this.clusterView = clusterView;
    this.suspicions = suspicions;
    this.reach = reach;
    this.paces = paces;
    this.shortage = shortage;
  }

  /**
   * Returns how eligible this daemon is to lead.
   *
   * @param mayLead whether it knows the fleet and is not stopping
   */
  LeaderEligibility eligibility(boolean mayLead) {
    boolean settled = System.nanoTime() - startedNanos > SETTLE_NANOS;
    if (!settled || !mayLead) {
      return LeaderEligibility.INELIGIBLE;
    }
    if (reach.isLost()) {
      return LeaderEligibility.WITHOUT_UPSTREAMS;
    }
    if (clusterView.storeAnswers()) {
      return shortage.isShort() ? LeaderEligibility.WITHOUT_STORE : LeaderEligibility.ELIGIBLE;
    }
    boolean isIsolated = peers.members().hasOthers() && peers.live().isEmpty();
    return isIsolated ? LeaderEligibility.INELIGIBLE : LeaderEligibility.WITHOUT_STORE;
  }

  /**
   * Returns the state to report.
   *
   * @param mayLead whether this daemon knows the fleet and is not stopping
   * @param leading whether this daemon leads
   */
  DaemonState state(boolean mayLead, boolean leading) {
    Map<String, Integer> inFlight = inFlight();
    return new DaemonState(
        eligibility(mayLead),
        gateway.hasReceivedRequest(),
        shortage.isShort(),
        reach.report(peers.isAnyDoubtful()),
        inFlight,
        gateway.offeredWork(),
        gateway.offeredByUrgency(),
        paces.reported(),
        suspicions.ownSuspects(),
        dispatcher.rejecting(),
        leading ? formation.recentlyOpened() : List.of(),
        leading ? formation.recentlyClosed() : List.of());
  }

  /** The requests in progress, by the id of their node. */
  private Map<String, Integer> inFlight() {
    Map<String, Integer> inFlight = new HashMap<>();
    dispatcher
        .states()
        .forEach(
            (node, state) -> {
              if (state.inFlight() > 0) {
                inFlight.put(node, state.inFlight());
              }
            });
    return inFlight;
  }

  /**
   * Returns what the leader announces.
   *
   * @param leading whether this daemon is the leader
   */
  GroupAnnouncements announcements(boolean leading) {
    if (leading) {
      return new GroupAnnouncements(formation.recentlyOpened(), formation.recentlyClosed());
    }
    PeerMessage leader = peers.election().leaderMessage();
    return leader == null
        ? GroupAnnouncements.NONE
        : new GroupAnnouncements(leader.groups(), leader.closed());
  }

  /** Applies which daemons are reachable. */
  void applyReachableDaemons() {
    Map<String, PeerMessage> live = peers.live();
    sharedUpdates.updateReachableDaemons(live.values(), peers.recentlySeenCount());
    dispatcher.setDaemonCount(live.size() + 1);
    if (policy.admission()) {
      boolean reportsAreOld = MessageRouting.hasRelays(live.size() + 1);
      dispatcher.setReportAge(reportsAreOld ? MessageRouting.RELAYED_AGE_NANOS : 0);
    }
  }

  /** Applies what the peers report about nodes and load. */
  void applyReports() {
    PeerReports reports = peers.reports();
    dispatcher.setPeersInFlight(reports.inFlight());
    dispatcher.setReportedRejecting(reports.rejecting());
    gateway.setDaemonCount(peers.members().count(System.nanoTime()));
    paces.update(reports.paces(), System.nanoTime());
    if (policy.urgency()) {
      gateway.updateAdmission(reports.offeredByUrgency());
    }
  }
}
