package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.planning.Orders;
import org.fawnvale.core.planning.Plan;
import org.fawnvale.core.planning.PlanInput;
import org.fawnvale.core.planning.Planner;

/** Replays a trace of node events through the planner against simulated nodes. */
public final class FormationReplay {

  private static final String DATA_CENTRE = "dc";
  private static final double TICK_SECONDS = 5;
  private static final double SECONDS_PER_HOUR = 3600;
  private static final double WARM_UP_SECONDS = 7200;

  private final FormationTrace trace;
  private final FormationPolicy policy;
  private final Bundle bundle;
  private final List<VirtualNode> nodes = new ArrayList<>();
  private final Map<String, VirtualNode> byName = new LinkedHashMap<>();
  private final Map<String, DomainState> domains = new LinkedHashMap<>();
  private final VirtualStore store;
  private Map<String, NodeView> lastViews = Map.of();
  private double downtimeSeconds;
  private double unavoidableSeconds;
  private double strandedSeconds;
  private double healthySeconds;
  private int failures;

  private FormationReplay(FormationTrace trace, FormationPolicy policy) {
    this.trace = trace;
    this.policy = policy;
    this.bundle = trace.fleet().bundle();
    this.store = new VirtualStore(trace.fleet().gigabytesPerSecond());
    for (int domain = 0; domain < trace.fleet().domains(); domain++) {
      String domainName = String.format("fabric-%02d", domain);
      domains.put(domainName, DomainState.empty(DATA_CENTRE, domainName));
      for (int node = 0; node < trace.fleet().nodesPerDomain(); node++) {
        String name = String.format("node-%02d-%02d", domain, node);
        VirtualNode virtual = new VirtualNode(name, domainName);
        nodes.add(virtual);
        byName.put(name, virtual);
      }
    }
  }

  /**
   * Replays a trace, after a simulated warm-up in which the replicas are formed.
   *
   * @return the result, without the warm-up
   */
  public static FormationResult run(FormationTrace trace, FormationPolicy policy) {
    return new FormationReplay(trace, policy).run();
  }

  private FormationResult run() {
    double end = trace.fleet().hours() * SECONDS_PER_HOUR;
    int next = 0;
    for (double now = -WARM_UP_SECONDS; now < end; now += TICK_SECONDS) {
      while (next < trace.events().size() && trace.events().get(next).atSeconds() <= now) {
        FormationTrace.Event event = trace.events().get(next++);
        nodes.get(event.node()).apply(event.kind(), now);
        failures += event.kind() == FormationTrace.Kind.FAIL ? 1 : 0;
      }
      step(now);
      if (now >= 0) {
        measure();
      }
    }
    return result();
  }

  private void step(double now) {
    nodes.forEach(node -> node.tick(now));
    Map<String, NodeView> views = new HashMap<>();
    byName.forEach(
        (name, node) -> views.put(name, node.view(now, trace.fleet().detectionSeconds())));
    if (views.equals(lastViews)) {
      return;
    }
    lastViews = views;
    Plan plan =
        Planner.plan(
            new PlanInput(
                DATA_CENTRE,
                bundle,
                true,
                List.copyOf(domains.values()),
                views,
                policy.settings(),
                "replay"));
    plan.changed().forEach(changed -> domains.put(changed.domain(), changed));
    List<Order> orders = new ArrayList<>();
    for (DomainState domain : domains.values()) {
      orders.addAll(Orders.due(domain, bundle, views, 1));
    }
    orders.addAll(Orders.preloads(domains.values(), bundle, views, 1, policy.settings()));
    lastViews = plan.changed().isEmpty() ? lastViews : Map.of();
    for (Order order : orders) {
      if (byName.get(order.node()).isAlive()) {
        byName.get(order.node()).accept(order, store, now);
      }
    }
  }

  private void measure() {
    Map<String, Integer> serving = new HashMap<>();
    Set<String> servingNodes = new HashSet<>();
    for (DomainState domain : domains.values()) {
      for (Replica replica : domain.replicas()) {
        if (!replica.draining() && isComplete(replica)) {
          serving.merge(replica.role(), 1, Integer::sum);
          servingNodes.addAll(replica.members());
        }
      }
    }
    for (Role role : bundle.roles()) {
      int missing = role.replicasPerDataCentre() - serving.getOrDefault(role.name(), 0);
      downtimeSeconds += Math.max(0, missing) * TICK_SECONDS;
    }
    unavoidableSeconds += unavoidablyMissingReplicas() * TICK_SECONDS;
    for (Map.Entry<String, VirtualNode> entry : byName.entrySet()) {
      if (entry.getValue().isAlive()) {
        healthySeconds += TICK_SECONDS;
        strandedSeconds += servingNodes.contains(entry.getKey()) ? 0 : TICK_SECONDS;
      }
    }
  }

  /**
   * Returns how many required replicas of the largest role cannot be formed from the running nodes.
   */
  private int unavoidablyMissingReplicas() {
    Role largest =
        bundle.roles().stream().max(Comparator.comparingInt(Role::nodesPerReplica)).orElseThrow();
    int possible = 0;
    for (String domain : domains.keySet()) {
      long alive =
          nodes.stream().filter(node -> node.isAlive() && node.domain().equals(domain)).count();
      possible += (int) alive / largest.nodesPerReplica();
    }
    return Math.max(0, largest.replicasPerDataCentre() - possible);
  }

  private boolean isComplete(Replica replica) {
    return replica.members().stream()
        .allMatch(name -> byName.get(name).isReadyIn(replica.id(), replica.generation()));
  }

  /**
   * Computes the result with its lower bounds. The bound of the downtime is the time with too few
   * running nodes plus the detection time of each member failure. The bound of the stranding is the
   * time of the nodes that remain when domains are filled with replicas of the smallest role.
   */
  private FormationResult result() {
    int requiredNodes = 0;
    int smallest = Integer.MAX_VALUE;
    for (Role role : bundle.roles()) {
      requiredNodes += role.replicasPerDataCentre() * role.nodesPerReplica();
      smallest = Math.min(smallest, role.nodesPerReplica());
    }
    double memberShare = Math.min(1, (double) requiredNodes / nodes.size());
    double downtimeBound =
        unavoidableSeconds + failures * memberShare * trace.fleet().detectionSeconds();
    int leftOverNodes = trace.fleet().nodesPerDomain() % smallest * trace.fleet().domains();
    double strandedBound = healthySeconds * leftOverNodes / nodes.size();
    double downtime = downtimeSeconds / SECONDS_PER_HOUR;
    double stranded = strandedSeconds / SECONDS_PER_HOUR;
    return new FormationResult(
        policy.name(),
        downtime,
        stranded,
        store.loads(),
        bundle.policy().downtimeWeight() * downtime + bundle.policy().strandedWeight() * stranded,
        downtimeBound / SECONDS_PER_HOUR,
        strandedBound / SECONDS_PER_HOUR);
  }
}
