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

/** Which nodes may take requests: heads of whole, open groups, and nodes of plain services. */
final class UpstreamSelector {

  /** Groups that were seen whole and open. Members whose entries vanish later may still serve. */
  private final Set<GroupKey> seenWhole = new HashSet<>();

  private final boolean keepsIncomplete;

  /**
   * Creates the view of one daemon.
   *
   * @param keepsIncomplete whether a group that was whole serves on while entries are missing
   */
  UpstreamSelector(boolean keepsIncomplete) {
    this.keepsIncomplete = keepsIncomplete;
  }

  /** Nodes whose service has engines that form groups. */
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
   * Finds the upstreams that may take requests.
   *
   * @param nodes all nodes
   * @param configuration the configuration in force
   * @param announced the leader's word on groups
   * @return the upstreams
   */
  List<Node> serving(
      Collection<Node> nodes, Configuration configuration, GroupAnnouncements announced) {
    Map<String, Node> serving = new LinkedHashMap<>();
    for (Node node : nodes) {
      ServiceSpec service = configuration.services().get(node.service());
      if (service != null && service.engine() == null && !node.draining()) {
        serving.put(node.id(), node);
      }
    }
    ServiceSpec engineService = configuration.engineService();
    EngineSpec engine = engineService == null ? null : engineService.engine();
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
    seenWhole.retainAll(groups.keySet());
    for (ObservedGroup group : groups.values()) {
      Node head = group.head();
      boolean closed = announced.closed().contains(group.key().headAtEpoch());
      if (head != null && !closed && isOpen(group, head, engine)) {
        serving.put(head.id(), head.withSlots(engine.slots()));
      }
    }
    Map<String, PeerMessage.ServingGroup> opened = new HashMap<>();
    announced.opened().forEach(group -> opened.merge(group.head(), group, UpstreamSelector::later));
    for (Node node : engines) {
      PeerMessage.ServingGroup group = opened.isEmpty() ? null : opened.get(node.id());
      if (group != null && !node.draining() && !isInLaterGroup(node, group)) {
        Membership place = new Membership(group.group(), group.epoch(), 0, MemberState.OPEN);
        Node head = node.withGroup(group.model(), node.staged(), place);
        serving.put(node.id(), head.withSlots(engine.slots()));
      }
    }
  }

  private boolean isOpen(ObservedGroup group, Node head, EngineSpec engine) {
    String modelName = head.model();
    ModelSpec model = modelName == null ? null : engine.model(modelName);
    Membership place = head.membership();
    if (model == null || place == null || place.state() != MemberState.OPEN) {
      return false;
    }
    boolean whole = group.members().size() >= model.size() && group.headMayServe();
    if (whole) {
      seenWhole.add(group.key());
    }
    boolean wasWhole = keepsIncomplete && seenWhole.contains(group.key());
    return whole || wasWhole && group.headMayServe();
  }

  /** A head that was opened twice a short while ago serves the later group. */
  private static PeerMessage.ServingGroup later(
      PeerMessage.ServingGroup one, PeerMessage.ServingGroup other) {
    return one.epoch() > other.epoch() ? one : other;
  }

  /** Tells whether the list already shows a head in a later group than the leader's word does. */
  private static boolean isInLaterGroup(Node node, PeerMessage.ServingGroup group) {
    Membership place = node.membership();
    return place != null && place.epoch() > group.epoch();
  }
}
