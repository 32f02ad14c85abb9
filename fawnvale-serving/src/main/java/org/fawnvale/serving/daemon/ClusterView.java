package org.fawnvale.serving.daemon;

import java.util.Collection;
import java.util.Set;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.formation.LastModels;
import org.fawnvale.serving.core.formation.RestoredNodes;
import org.fawnvale.serving.core.formation.VanishedNodes;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.watch.StoreOutages;
import org.fawnvale.serving.core.watch.StoreSuspicion;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.store.EraChange;
import org.fawnvale.serving.store.StoreWatch;

/** What this daemon can see: the store, the nodes as it lists them, and the other data centres. */
final class ClusterView {

  /** Nodes whose entries a copy of the store lacks write them again within two seconds. */
  private static final long WRITTEN_AGAIN_NANOS = 2_000_000_000L;

  /** How long a failed call speaks against a daemon that has stopped to call. */
  private static final long STORE_TRUST_NANOS = 3_000_000_000L;

  /** How long an answer of an upstream shows that its data centre can be reached. */
  private static final long REACHED_NANOS = 400_000_000L;

  private final Settings settings;
  private final Peers peers;
  private final StoreWatch<Configuration> configurations;
  private final StoreWatch<Node> nodes;
  private final UpstreamGate gate;
  private final LastModels lastModels = new LastModels();
  private final StoreSuspicion doubt = new StoreSuspicion();
  private final StoreOutages outages = new StoreOutages();
  private final VanishedNodes vanishedNodes = new VanishedNodes();
  private final RestoredNodes restoredNodes = new RestoredNodes();
  private long wentBackAtNanos = Long.MIN_VALUE / 2;

  ClusterView(
      Settings settings,
      Peers peers,
      StoreWatch<Configuration> configurations,
      StoreWatch<Node> nodes,
      UpstreamGate gate) {
    this.settings = settings;
    this.gate = gate;
    this.peers = peers;
    this.configurations = configurations;
    this.nodes = nodes;
  }

  /** The nodes as listed, with what the list fails to show. */
  Collection<Node> listedNodes() {
    long now = System.nanoTime();
    Collection<Node> listed =
        restoredNodes.complete(nodes.objects(), nodes.places(), lastAnswerNanos());
    if (settings.policy().cutsAreNoDeaths()) {
      listed = vanishedNodes.complete(listed, missingMayComeBack(now), now);
    }
    return lastModels.complete(withLeaving(listed));
  }

  /** A node leaves once its entry or an answer of its own says so, whichever comes first. */
  private Collection<Node> withLeaving(Collection<Node> listed) {
    if (gate.leavingCount() == 0) {
      return listed;
    }
    return listed.stream()
        .map(node -> gate.isLeaving(node.incarnation()) ? node.asDraining() : node)
        .toList();
  }

  /** A daemon that rests has its nodes from peers; that the store answers it shows in the other. */
  private long lastAnswerNanos() {
    return nodes.isActive() ? nodes.answeredAtNanos() : configurations.answeredAtNanos();
  }

  /** Takes note of what was known of the nodes before the store went back. */
  void storeWentBack(EraChange<Node> change) {
    wentBackAtNanos = System.nanoTime();
    restoredNodes.storeRolledBack(
        change.known(), change.removed(), nodes.objects(), nodes.places(), wentBackAtNanos);
  }

  /** Tells whether nodes are held on to that the list has lost or shows as they were before. */
  boolean changesWithTime() {
    return vanishedNodes.hasRetainedNodes() || restoredNodes.changesWithTime();
  }

  /** An entry that has gone for any other reason must not be held on to: its node leaves. */
  private boolean missingMayComeBack(long now) {
    return outages.mayHaveExpired(now) || now - wentBackAtNanos < WRITTEN_AGAIN_NANOS;
  }

  /** Tells whether the store answers this daemon. */
  boolean storeAnswers() {
    boolean certain = nodes.isActive() || doubt.isCleared(configurations.answeredAtNanos());
    return certain && answers(configurations) && answers(nodes);
  }

  /** Takes note of who has the store; asks it once a near daemon has lost it. */
  void learnFromPeers() {
    lookForOutage();
    if (doubt.updatePeers(peers.peerInDataCentreLostStore(), System.nanoTime())) {
      configurations.probe();
    }
  }

  private void lookForOutage() {
    boolean here = configurations.reachable() && (!nodes.isActive() || nodes.reachable());
    long lastAnswer = Math.max(configurations.answeredAtNanos(), nodes.answeredAtNanos());
    outages.observe(here, peers.storeAnswersAnyPeer(), lastAnswer, System.nanoTime());
  }

  /** A daemon that rests after a failed call may find the store again, but not at once. */
  private static boolean answers(StoreWatch<?> watch) {
    boolean failedLately = System.nanoTime() - watch.failedAtNanos() < STORE_TRUST_NANOS;
    return watch.reachable() || !watch.isActive() && !failedLately;
  }

  /** Data centres of daemons that are heard, and of upstreams that answered a moment ago. */
  Set<String> dataCentres(Dispatcher dispatcher) {
    long now = System.nanoTime();
    Set<String> inSight = peers.election().reachableDataCentres(now);
    inSight.add(settings.dataCentre());
    dispatcher
        .states()
        .forEach(
            (id, state) -> {
              Node node = nodes.objects().get(id);
              if (node != null && state.progressedWithin(REACHED_NANOS, now)) {
                inSight.add(node.dataCentre());
              }
            });
    return inSight;
  }
}
