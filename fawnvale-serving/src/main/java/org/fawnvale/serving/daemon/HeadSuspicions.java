package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which heads this daemon and its peers suspect of being stalled. A suspicion includes the
 * group's epoch ({@code ID@EPOCH}), so that it does not apply to the next group of the same head.
 */
final class HeadSuspicions {

  /** How long a suspicion lasts; the leader acts on confirmed suspicions well before. */
  private static final long SUSPICION_NANOS = 2_000_000_000L;

  private final String dataCentre;
  private final Dispatcher dispatcher;
  private final BooleanSupplier anyPeerSuspects;
  private final Supplier<List<StallEvidence.Observation>> peerObservations;
  private final UpstreamPath path;
  private final Map<String, Head> heads = new HashMap<>();
  private Set<String> told = Set.of();

  private record Head(long epoch, String dataCentre) {}

  /**
   * Creates the suspicions of one daemon.
   *
   * @param dataCentre the daemon's data centre
   * @param dispatcher knows what this daemon has observed of each head
   * @param anyPeerSuspects tells cheaply whether there is any suspicion in the observations
   * @param peerObservations supplies what the live peers report about heads
   * @param path the daemon's own path to the upstreams
   */
  HeadSuspicions(
      String dataCentre,
      Dispatcher dispatcher,
      BooleanSupplier anyPeerSuspects,
      Supplier<List<StallEvidence.Observation>> peerObservations,
      UpstreamPath path) {
    this.dataCentre = dataCentre;
    this.dispatcher = dispatcher;
    this.anyPeerSuspects = anyPeerSuspects;
    this.peerObservations = peerObservations;
    this.path = path;
  }

  /** Updates the serving heads, and clears the suspicion of each head that serves a new group. */
  void update(List<Node> serving, Set<String> present) {
    for (Node node : serving) {
      Membership membership = node.membership();
      if (membership != null) {
        Head before = heads.put(node.id(), new Head(membership.epoch(), node.dataCentre()));
        if (before == null || before.epoch() != membership.epoch()) {
          dispatcher.state(node.id()).clearSuspicion();
        }
      }
    }
    heads.keySet().retainAll(present);
  }

  /**
   * Heads that this daemon suspects, as {@code ID@EPOCH}; none while its own path is in doubt,
   * since every head then seems to have stalled.
   */
  List<String> ownSuspects() {
    List<String> suspects = new ArrayList<>();
    if (path.isDoubtful()) {
      return suspects;
    }
    dispatcher
        .states()
        .forEach(
            (node, state) -> {
              Head head = heads.get(node);
              if (state.isSuspect() && head != null) {
                suspects.add(node + "@" + head.epoch());
              }
            });
    return suspects;
  }

  /**
   * Returns whether this daemon suspects a head that it did not at the last call, so that peers
   * should learn it at once. After a doubt about its own path all its suspicions are new: messages
   * sent meanwhile contained none.
   */
  boolean takeNew() {
    Set<String> current = Set.copyOf(ownSuspects());
    boolean anyNew = !told.containsAll(current);
    told = current;
    return anyNew;
  }

  /**
   * Ids of the heads that peers suspect. Counts only peers in this daemon's or in the head's data
   * centre, because a peer behind a network partition suspects every head on the other side.
   */
  Set<String> peerSuspects() {
    if (!anyPeerSuspects.getAsBoolean()) {
      return Set.of();
    }
    Set<String> suspects = new HashSet<>();
    for (StallEvidence.Observation witness : peerObservations.get()) {
      for (String headAtEpoch : witness.suspects()) {
        String id = reachableSuspect(witness, headAtEpoch);
        if (id != null) {
          suspects.add(id);
        }
      }
    }
    return suspects;
  }

  /** The id of a suspected head; null if its group is not current or the peer is too far away. */
  private @Nullable String reachableSuspect(StallEvidence.Observation witness, String headAtEpoch) {
    String id = headAtEpoch.substring(0, headAtEpoch.lastIndexOf('@'));
    Head head = heads.get(id);
    if (head == null || !headAtEpoch.endsWith("@" + head.epoch())) {
      return null;
    }
    boolean isNear =
        witness.dataCentre().equals(dataCentre) || witness.dataCentre().equals(head.dataCentre());
    return isNear ? id : null;
  }

  /** What all live daemons report about heads, this daemon included. */
  List<StallEvidence.Observation> witnesses() {
    Set<String> busy = new HashSet<>();
    dispatcher
        .states()
        .forEach(
            (node, state) -> {
              if (state.inFlight() > 0) {
                busy.add(node);
              }
            });
    List<StallEvidence.Observation> witnesses = new ArrayList<>();
    witnesses.add(new StallEvidence.Observation(dataCentre, ownSuspects(), busy));
    witnesses.addAll(peerObservations.get());
    return witnesses;
  }

  /** Clears this daemon's suspicions, because the path that they were based on had failed. */
  void clear() {
    dispatcher.states().values().forEach(UpstreamState::clearSuspicion);
  }

  /** Clears this daemon's expired suspicions. */
  void expire(long now) {
    for (UpstreamState state : dispatcher.states().values()) {
      if (state.isSuspect() && now - state.suspectSinceNanos() > SUSPICION_NANOS) {
        state.clearSuspicion();
      }
    }
  }
}
