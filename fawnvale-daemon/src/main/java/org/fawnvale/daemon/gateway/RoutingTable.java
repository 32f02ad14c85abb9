package org.fawnvale.daemon.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.PlainService;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.routing.Candidate;
import org.fawnvale.core.routing.ReplicaLoad;
import org.fawnvale.daemon.state.FleetView;

/** The targets of each model and plain service in this daemon's data centre. */
public final class RoutingTable {

  private final String dataCentre;
  private final Map<String, ReplicaLoad> loads = new ConcurrentHashMap<>();
  private volatile Map<String, TargetList> targets = Map.of();
  private volatile Map<String, ReplicaLoad> loadByNode = Map.of();

  private RoutingTable(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /**
   * Creates an empty table.
   *
   * @param dataCentre the name of this daemon's data centre
   */
  public static RoutingTable create(String dataCentre) {
    return new RoutingTable(dataCentre);
  }

  /**
   * Returns the key of a model's targets.
   *
   * @param model the model's name
   */
  public static String modelKey(String model) {
    return "model/" + model;
  }

  /**
   * Returns the key of a plain service's targets.
   *
   * @param service the service's name
   */
  public static String serviceKey(String service) {
    return "service/" + service;
  }

  /**
   * Rebuilds the table. Targets that stay keep their load counters.
   *
   * @param view the fleet state that the daemons agree on
   */
  public synchronized void update(FleetView view) {
    Bundle bundle = view.bundle();
    Map<String, List<Target>> next = new HashMap<>();
    if (bundle != null) {
      Map<String, Node> nodes = new HashMap<>();
      view.nodesOf(dataCentre).forEach(node -> nodes.put(node.name(), node));
      addReplicas(view, bundle, nodes, next);
      addServices(bundle, nodes, next);
    }
    Map<String, ReplicaLoad> byNode = new HashMap<>();
    Set<String> keys = new HashSet<>();
    for (List<Target> list : next.values()) {
      list.sort(Comparator.comparing(target -> target.candidate().key()));
      for (Target target : list) {
        keys.add(target.candidate().key());
        byNode.put(target.node().name(), target.candidate().load());
      }
    }
    loads.keySet().retainAll(keys);
    loadByNode = Map.copyOf(byNode);
    Map<String, TargetList> lists = new HashMap<>();
    next.forEach((key, list) -> lists.put(key, TargetList.of(list)));
    targets = Map.copyOf(lists);
  }

  private void addReplicas(
      FleetView view, Bundle bundle, Map<String, Node> nodes, Map<String, List<Target>> next) {
    for (DomainState domain : view.domainsOf(dataCentre).values()) {
      for (Replica replica : domain.replicas()) {
        Node leader = nodes.get(replica.head());
        if (leader != null && !replica.draining()) {
          int concurrent = bundle.role(replica.role()).map(Role::maximumConcurrent).orElse(1);
          String key = domain.domain() + "/" + replica.id() + "/" + replica.generation();
          add(next, modelKey(replica.model()), key, concurrent, leader, replica);
        }
      }
    }
  }

  private void addServices(Bundle bundle, Map<String, Node> nodes, Map<String, List<Target>> next) {
    for (Node node : nodes.values()) {
      if (node.service() != null && !node.leaving()) {
        int concurrent =
            bundle.service(node.service()).map(PlainService::maximumConcurrent).orElse(1);
        add(next, serviceKey(node.service()), node.name(), concurrent, node, null);
      }
    }
  }

  private void add(
      Map<String, List<Target>> next,
      String list,
      String key,
      int concurrent,
      Node node,
      @org.jspecify.annotations.Nullable Replica replica) {
    ReplicaLoad load = loads.computeIfAbsent(key, name -> new ReplicaLoad());
    Candidate candidate = new Candidate(key, load, concurrent);
    next.computeIfAbsent(list, name -> new ArrayList<>()).add(new Target(candidate, node, replica));
  }

  /**
   * Returns the targets of a model or plain service.
   *
   * @param key the key from {@link #modelKey} or {@link #serviceKey}
   * @return the targets, in the same order on every daemon
   */
  public TargetList targets(String key) {
    return targets.getOrDefault(key, TargetList.EMPTY);
  }

  /** Returns the targets of all models and plain services. */
  public List<Target> all() {
    return targets.values().stream().flatMap(list -> list.targets().stream()).toList();
  }

  /**
   * Records the load that a node reported.
   *
   * @param node the node's name
   * @param outstanding the number of requests that run or wait on the node
   */
  public void reported(String node, int outstanding) {
    ReplicaLoad load = loadByNode.get(node);
    if (load != null) {
      load.reported(outstanding);
    }
  }
}
