package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.peer.Peers;
import org.jspecify.annotations.Nullable;

/**
 * Which heads this daemon and its peers hold to be standing still. A suspicion names the group's
 * epoch ({@code ID@EPOCH}), so that it says nothing of the next group of the same head.
 */
final class HeadSuspicions {

  /** How long a suspicion lasts that nothing confirms: the leader has acted long before. */
  private static final long SUSPECT_NANOS = 2_000_000_000L;

  private final String dataCentre;
  private final Dispatcher dispatcher;
  private final Peers peers;
  private final Map<String, Head> heads = new HashMap<>();

  private record Head(long epoch, String dataCentre) {}

  HeadSuspicions(String dataCentre, Dispatcher dispatcher, Peers peers) {
    this.dataCentre = dataCentre;
    this.dispatcher = dispatcher;
    this.peers = peers;
  }

  /** Learns which heads serve; a head that serves a new group is trusted again. */
  void learn(List<Node> serving, Set<String> present) {
    for (Node node : serving) {
      Membership place = node.membership();
      if (place != null) {
        Head before = heads.put(node.id(), new Head(place.epoch(), node.dataCentre()));
        if (before == null || before.epoch() != place.epoch()) {
          dispatcher.state(node.id()).clearSuspicion();
        }
      }
    }
    heads.keySet().retainAll(present);
  }

  /** Heads that this daemon suspects, as {@code ID@EPOCH}. */
  List<String> own() {
    List<String> suspects = new ArrayList<>();
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

  /** The number of heads that this daemon suspects. */
  int countOfOwn() {
    int count = 0;
    for (Map.Entry<String, UpstreamState> entry : dispatcher.states().entrySet()) {
      count += entry.getValue().isSuspect() && heads.containsKey(entry.getKey()) ? 1 : 0;
    }
    return count;
  }

  /** Ids of heads that peers suspect who see them; behind a cut they would say so of any head. */
  Set<String> ofPeers() {
    if (!peers.anySuspects()) {
      return Set.of();
    }
    Set<String> shared = new HashSet<>();
    for (StallEvidence.Observation witness : peers.stallObservations()) {
      for (String mark : witness.suspects()) {
        String id = suspectSeenBy(witness, mark);
        if (id != null) {
          shared.add(id);
        }
      }
    }
    return shared;
  }

  private @Nullable String suspectSeenBy(StallEvidence.Observation witness, String mark) {
    String id = mark.substring(0, mark.lastIndexOf('@'));
    Head head = heads.get(id);
    if (head == null || !mark.endsWith("@" + head.epoch())) {
      return null;
    }
    boolean sees =
        witness.dataCentre().equals(dataCentre) || witness.dataCentre().equals(head.dataCentre());
    return sees ? id : null;
  }

  /** What all live daemons tell of heads, this one included. */
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
    witnesses.add(new StallEvidence.Observation(dataCentre, own(), busy));
    witnesses.addAll(peers.stallObservations());
    return witnesses;
  }

  /** Forgets suspicions that nothing has confirmed. */
  void expire(long now) {
    for (UpstreamState state : dispatcher.states().values()) {
      if (state.isSuspect() && now - state.suspectSinceNanos() > SUSPECT_NANOS) {
        state.clearSuspicion();
      }
    }
  }
}
