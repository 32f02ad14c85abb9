package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/** The state of one node. */
final class SimulatedNode {
  final String id;
  final String domain;
  long startedMillis;
  boolean dead;
  boolean draining;
  boolean loadsFromStore;
  boolean refusesConnections;
  boolean hidden;
  @Nullable SimulatedNode successor;
  long partitionedUntil = Long.MIN_VALUE / 2;
  long partitionedSince = Long.MIN_VALUE / 2;
  long relistedAt = Long.MIN_VALUE / 2;
  long deadSince;
  long orders;
  long highestFence;
  long highestEpoch;
  String group;
  long epoch;
  int rank;
  List<String> members = List.of();
  MemberState state = MemberState.JOINING;
  long readyAt;
  String model;
  String staged;
  String stagingModel;
  long stagedAt;
  long brokenAt = Long.MAX_VALUE;
  long drainedAt = Long.MAX_VALUE;
  double pace = 1;
  final Map<String, List<String>> memberLists = new HashMap<>();
  final Set<String> everReady = new HashSet<>();

  SimulatedNode(String id, String domain) {
    this.id = id;
    this.domain = domain;
  }

  boolean serves() {
    return group != null
        && rank == 0
        && (state == MemberState.OPEN || state == MemberState.CLOSING);
  }

  /** Returns whether the list shows the entry, which lapses a while after a death or a cut. */
  boolean isListed(long now, long lagNanos) {
    boolean cutOff = now - partitionedSince >= lagNanos && now < relistedAt;
    boolean listed = dead ? now - deadSince < lagNanos : !cutOff;
    return listed && !hidden;
  }

  /** Returns the entry. */
  Node node() {
    Membership membership = group == null ? null : new Membership(group, epoch, rank, state);
    List<String> inHost = staged == null ? List.of() : List.of(staged);
    return new Node(
        new NodeIncarnation(id, startedMillis),
        "engines",
        new Endpoint("127.0.0.1", 1),
        "a",
        1,
        draining,
        domain,
        group == null ? null : model,
        inHost,
        membership);
  }
}
