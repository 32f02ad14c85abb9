package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.formation.GroupKey;
import org.fawnvale.serving.core.formation.GroupSeen;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.PeerNote;

/** Which nodes may take requests: heads of whole, open groups, and nodes of plain services. */
final class Fleet {

  private Fleet() {}

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
   * @param announced groups that the leader has opened
   * @return the upstreams
   */
  static List<Node> serving(
      Collection<Node> nodes, Configuration configuration, List<PeerNote.ServingGroup> announced) {
    Map<String, Node> serving = new LinkedHashMap<>();
    ServiceSpec engineService = configuration.engineService();
    for (Node node : nodes) {
      ServiceSpec service = configuration.services().get(node.service());
      if (service != null && service.engine() == null && !node.draining()) {
        serving.put(node.id(), node);
      }
    }
    EngineSpec engine = engineService == null ? null : engineService.engine();
    if (engine == null) {
      return List.copyOf(serving.values());
    }
    Map<GroupKey, GroupSeen> groups = GroupSeen.gather(engines(nodes, configuration));
    for (GroupSeen group : groups.values()) {
      Node head = group.head();
      if (head != null && mayServe(group, head, engine, announced)) {
        serving.put(head.id(), head.withSlots(engine.slots()));
      }
    }
    return List.copyOf(serving.values());
  }

  private static boolean mayServe(
      GroupSeen group, Node head, EngineSpec engine, List<PeerNote.ServingGroup> announced) {
    String modelName = head.model();
    ModelSpec model = modelName == null ? null : engine.model(modelName);
    Membership place = head.membership();
    if (model == null || place == null || !group.complete(model.size())) {
      return false;
    }
    return place.state() == MemberState.OPEN
        || place.state() == MemberState.READY && isAnnounced(group.key(), announced);
  }

  private static boolean isAnnounced(GroupKey key, List<PeerNote.ServingGroup> announced) {
    for (PeerNote.ServingGroup group : announced) {
      if (group.group().equals(key.name()) && group.epoch() == key.epoch()) {
        return true;
      }
    }
    return false;
  }
}
