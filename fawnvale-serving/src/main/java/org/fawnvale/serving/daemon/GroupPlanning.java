package org.fawnvale.serving.daemon;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.formation.FormationService;
import org.fawnvale.serving.gateway.Gateway;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.store.StoreWatch;

/**
 * Passes what this daemon knows of demand, nodes and data centres to the planner of groups whenever
 * a plan is due, and stops the planner while another daemon leads. Callers hold the lock.
 */
final class GroupPlanning {

  private final Policy policy;
  private final Peers peers;
  private final FormationService formation;
  private final Gateway gateway;
  private final Dispatcher dispatcher;
  private final UpstreamGate gate;
  private final ClusterView clusterView;
  private final StoreWatch<Node> nodes;
  private final HeadSuspicions suspicions;
  private final ReachUpdates reach;
  private final PaceUpdates paces;
  private final DemandUpdates demand;

  GroupPlanning(
      Policy policy,
      Peers peers,
      FormationService formation,
      Gateway gateway,
      Dispatcher dispatcher,
      UpstreamGate gate,
      ClusterView clusterView,
      StoreWatch<Node> nodes,
      HeadSuspicions suspicions,
      ReachUpdates reach,
      PaceUpdates paces,
      DemandUpdates demand) {
    this.policy = policy;
    this.peers = peers;
    this.formation = formation;
    this.gateway = gateway;
    this.dispatcher = dispatcher;
    this.gate = gate;
    this.clusterView = clusterView;
    this.nodes = nodes;
    this.suspicions = suspicions;
    this.reach = reach;
    this.paces = paces;
    this.demand = demand;
  }

  /**
   * Updates what planning depends on and, if this daemon leads, plans groups once a plan is due.
   *
   * @param engine the engine of the configuration in force
   * @param leading whether this daemon leads
   * @param engines supplies the nodes that form groups
   */
  void run(EngineSpec engine, boolean leading, Supplier<Collection<Node>> engines) {
    if (gateway.hasReceivedRequest() || peers.servedElsewhere()) {
      formation.boundLoads();
      demand.requestReceived(System.nanoTime());
    }
    Set<String> reachable = clusterView.reachableDataCentres(dispatcher);
    if (policy.cutsAreNoDeaths()) {
      dispatcher.setReachable(reachable::contains);
    }
    if (leading) {
      planIfDue(engine, withoutEvacuated(reachable), engines);
    } else {
      formation.stopLeading();
    }
  }

  /** Planning treats an evacuated data centre like one that is out of reach. */
  private Set<String> withoutEvacuated(Set<String> dataCentres) {
    Set<String> remaining = new HashSet<>(dataCentres);
    remaining.removeIf(gate.evacuations()::isEvacuated);
    return remaining;
  }

  private void planIfDue(
      EngineSpec engine, Set<String> reachable, Supplier<Collection<Node>> engines) {
    List<StallEvidence.Observation> witnesses = suspicions.witnesses();
    boolean suspected = witnesses.stream().anyMatch(witness -> !witness.suspects().isEmpty());
    if (!reach.isDoubtful() && formation.isPlanDue(nodes.position(), suspected)) {
      plan(engine, reachable, witnesses, engines.get());
    }
  }

  private void plan(
      EngineSpec engine,
      Set<String> reachable,
      List<StallEvidence.Observation> witnesses,
      Collection<Node> engines) {
    formation.planAndSend(
        engines,
        engine,
        demand.of(engine, System.nanoTime()),
        witnesses,
        reachable,
        paused(engines),
        gate.evacuations().state().dataCentres(),
        paces.slowHeads());
  }

  /** Ids of the nodes that are in a Retry-After pause. */
  private Set<String> paused(Collection<Node> engines) {
    long now = System.nanoTime();
    Set<String> paused = new HashSet<>();
    for (Node node : engines) {
      if (gate.isPaused(node.life(), now)) {
        paused.add(node.id());
      }
    }
    return paused;
  }
}
