package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.formation.GroupKey;
import org.fawnvale.serving.core.formation.ObservedGroup;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.PeerMessage;

/**
 * Selects the nodes that may receive requests: the heads of complete, open groups, and the nodes of
 * services without engines.
 */
final class UpstreamSelector {

  /** Groups that were once observed as complete and open. */
  private final Set<GroupKey> onceComplete = new HashSet<>();

  private final boolean keepIncomplete;

  /**
   * Creates a selector.
   *
   * @param keepIncomplete whether a group that was once complete continues to serve while entries
   *     of members are missing
   */
  UpstreamSelector(boolean keepIncomplete) {
    this.keepIncomplete = keepIncomplete;
  }

  /** Returns the nodes of the engine service, which form groups. */
  static List<Node> engines(Collection<Node> nodes, Configuration configuration) {
    ServiceSpec service = configuration.engineService();
    List<Node> engines = new ArrayList<>();
    for (Node node : nodes) {
      if (service != null && node.service().equals(service.name())) {
        engines.add(node);
      }
    }
    return engines;
  }

  /**
   * Selects the upstreams that may receive requests.
   *
   * @param nodes all nodes
   * @param configuration the active configuration
   * @param announced the leader's announcements of groups
   */
  List<Node> select(
      Collection<Node> nodes, Configuration configuration, GroupAnnouncements announced) {
    Map<String, Node> serving = new LinkedHashMap<>();
    for (Node node : nodes) {
      ServiceSpec service = configuration.services().get(node.service());
      if (service != null && service.engine() == null && !node.draining()) {
        serving.put(node.id(), node);
      }
    }
    EngineSpec engine = configuration.engine();
    if (engine != null) {
      addHeads(serving, engines(nodes, configuration), engine, announced);
    }
    return List.copyOf(serving.values());
  }

  private void addHeads(
      Map<String, Node> serving,
      List<Node> engines,
      EngineSpec engine,
      GroupAnnouncements announced) {
    Map<GroupKey, ObservedGroup> groups = ObservedGroup.gather(engines);
    onceComplete.retainAll(groups.keySet());
    for (ObservedGroup group : groups.values()) {
      Node head = group.head();
      boolean closed = announced.closed().contains(group.key().headAtEpoch());
      if (head != null && !closed && isOpen(group, head, engine)) {
        serving.put(head.id(), head.withSlots(engine.slots()));
      }
    }
    Map<String, PeerMessage.ServingGroup> opened = new HashMap<>();
    announced
        .opened()
        .forEach(group -> opened.merge(group.head(), group, UpstreamSelector::laterEpoch));
    for (Node node : engines) {
      PeerMessage.ServingGroup group = opened.isEmpty() ? null : opened.get(node.id());
      if (group != null && !node.draining() && !isInLaterGroup(node, group)) {
        Membership membership = new Membership(group.group(), group.epoch(), 0, MemberState.OPEN);
        Node head = node.withGroup(group.model(), node.staged(), membership);
        serving.put(node.id(), head.withSlots(engine.slots()));
      }
    }
  }

  private boolean isOpen(ObservedGroup group, Node head, EngineSpec engine) {
    String modelName = head.model();
    ModelSpec model = modelName == null ? null : engine.model(modelName);
    Membership membership = head.membership();
    if (model == null || membership == null || membership.state() != MemberState.OPEN) {
      return false;
    }
    boolean complete = group.members().size() >= model.size() && group.headMayServe();
    if (complete) {
      onceComplete.add(group.key());
    }
    boolean wasComplete = keepIncomplete && onceComplete.contains(group.key());
    return complete || wasComplete && group.headMayServe();
  }

  /** Chooses the later group if two announcements name the same head. */
  private static PeerMessage.ServingGroup laterEpoch(
      PeerMessage.ServingGroup one, PeerMessage.ServingGroup other) {
    return one.epoch() > other.epoch() ? one : other;
  }

  /** Returns whether the list shows the head in a later group than the announcement. */
  private static boolean isInLaterGroup(Node node, PeerMessage.ServingGroup group) {
    Membership membership = node.membership();
    return membership != null && membership.epoch() > group.epoch();
  }
}
