package org.fawnvale.serving.daemon;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.formation.LastModels;
import org.fawnvale.serving.core.formation.RestoredNodes;
import org.fawnvale.serving.core.formation.VanishedNodes;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.watch.StoreOutages;
import org.fawnvale.serving.core.watch.StoreSuspicion;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.store.EraChange;
import org.fawnvale.serving.store.StoreWatch;

/**
 * This daemon's view of the cluster: the effective list of nodes, whether the store answers, and
 * the reachable data centres.
 */
final class ClusterView {

  /** Time within which nodes rewrite entries that a rollback of the store has removed. */
  private static final long REWRITE_NANOS = 2_000_000_000L;

  /**
   * How long a failed call counts as an outage when the watch is inactive and makes no new calls.
   */
  private static final long FAILURE_VALID_NANOS = 3_000_000_000L;

  /** How long an answer or event from an upstream proves that its data centre is reachable. */
  private static final long REACHABLE_NANOS = 400_000_000L;

  private final Settings settings;
  private final Peers peers;
  private final StoreWatch<Configuration> configurations;
  private final StoreWatch<Node> nodes;
  private final UpstreamGate gate;
  private final LastModels lastModels = new LastModels();
  private final StoreSuspicion storeSuspicion = new StoreSuspicion();
  private final StoreOutages outages = new StoreOutages();
  private final VanishedNodes vanishedNodes = new VanishedNodes();
  private final RestoredNodes restoredNodes = new RestoredNodes();
  private long rolledBackAtNanos = Long.MIN_VALUE / 2;

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

  /**
   * The effective list of nodes. Completes the store's list with entries that a rollback or an
   * outage of the store has removed, with nodes whose responses say that they are draining, and
   * with the model of each node's last group.
   */
  Collection<Node> listedNodes() {
    long now = System.nanoTime();
    Collection<Node> listed =
        restoredNodes.complete(nodes.objects(), nodes.positions(), lastAnswerNanos());
    if (settings.policy().cutsAreNoDeaths()) {
      listed = vanishedNodes.complete(listed, missingMayReturn(now), now);
    }
    return lastModels.complete(withDraining(listed));
  }

  /** Marks nodes as draining that have announced in a response that they are leaving. */
  private Collection<Node> withDraining(Collection<Node> listed) {
    if (gate.leavingCount() == 0) {
      return listed;
    }
    return listed.stream()
        .map(node -> gate.isLeaving(node.life()) ? node.asDraining() : node)
        .toList();
  }

  /**
   * Returns the time of the last answer. An inactive watch of nodes makes no calls, so the watch of
   * the configuration is used instead.
   */
  private long lastAnswerNanos() {
    return nodes.isActive() ? nodes.lastAnswerNanos() : configurations.lastAnswerNanos();
  }

  /** Retains the state of the nodes that was known before a rollback of the store. */
  void onStoreRollback(EraChange<Node> change) {
    rolledBackAtNanos = System.nanoTime();
    restoredNodes.storeRolledBack(
        change.previousObjects(),
        change.removedNames(),
        nodes.objects(),
        nodes.positions(),
        rolledBackAtNanos);
  }

  /** Returns whether the effective list may change without a change of the store's list. */
  boolean changesWithTime() {
    return vanishedNodes.hasRetainedNodes() || restoredNodes.changesWithTime();
  }

  /**
   * Returns whether missing entries may return: after an outage or a rollback of the store.
   * Otherwise a missing entry means that its node is shutting down.
   */
  private boolean missingMayReturn(long now) {
    return outages.mayHaveExpired(now) || now - rolledBackAtNanos < REWRITE_NANOS;
  }

  /** Returns whether the store answers this daemon. */
  boolean storeAnswers() {
    boolean isCertain =
        nodes.isActive() || storeSuspicion.isCleared(configurations.lastAnswerNanos());
    return isCertain && answers(configurations) && answers(nodes);
  }

  /**
   * Records which daemons the store answers. Probes the store when a daemon of the same data centre
   * reports that it has lost the store.
   */
  void updateStoreReachability() {
    recordOutage();
    if (storeSuspicion.updatePeers(peers.peerInDataCentreLostStore(), System.nanoTime())) {
      configurations.probe();
    }
  }

  private void recordOutage() {
    boolean answersHere = configurations.reachable() && (!nodes.isActive() || nodes.reachable());
    long lastAnswer = Math.max(configurations.lastAnswerNanos(), nodes.lastAnswerNanos());
    outages.observe(answersHere, peers.storeAnswersAnyPeer(), lastAnswer, System.nanoTime());
  }

  /** An inactive watch makes no calls, so its last failure counts for a limited time only. */
  private static boolean answers(StoreWatch<?> watch) {
    boolean failedRecently = System.nanoTime() - watch.lastFailureNanos() < FAILURE_VALID_NANOS;
    return watch.reachable() || !watch.isActive() && !failedRecently;
  }

  /** The data centres of all nodes and daemons; empty while the nodes are not known. */
  Set<String> listedDataCentres() {
    if (!nodes.position().isKnown()) {
      return Set.of();
    }
    Set<String> listed = new HashSet<>(Set.of(settings.dataCentre()));
    nodes.objects().values().forEach(node -> listed.add(node.dataCentre()));
    peers.live().values().forEach(message -> listed.add(message.dataCentre()));
    return listed;
  }

  /** Data centres of live daemons, and of upstreams that answered a moment ago. */
  Set<String> reachableDataCentres(Dispatcher dispatcher) {
    long now = System.nanoTime();
    Set<String> reachable = peers.election().reachableDataCentres(now);
    reachable.add(settings.dataCentre());
    dispatcher
        .states()
        .forEach(
            (id, state) -> {
              Node node = nodes.objects().get(id);
              if (node != null && state.progressedWithin(REACHABLE_NANOS, now)) {
                reachable.add(node.dataCentre());
              }
            });
    return reachable;
  }

  /** The members of a head's group among the listed nodes, without the head. */
  static List<Node> otherMembers(Node head, Collection<Node> listed) {
    Membership group = head.membership();
    return group == null
        ? List.of()
        : listed.stream().filter(node -> isOtherMember(node, head, group)).toList();
  }

  private static boolean isOtherMember(Node node, Node head, Membership group) {
    Membership own = node.membership();
    return own != null
        && !node.id().equals(head.id())
        && own.epoch() == group.epoch()
        && own.group().equals(group.group());
  }
}
