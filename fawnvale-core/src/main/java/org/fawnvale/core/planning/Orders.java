package org.fawnvale.core.planning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.model.Replica;

/** Computes the orders that bring nodes to the state that the plan prescribes. */
public final class Orders {

  private Orders() {}

  /**
   * Returns the orders to send now.
   *
   * @param state the domain's state, as stored on the platform
   * @param bundle the bundle in force
   * @param nodes the nodes by name
   * @param epoch the sender's lease epoch
   * @return an order for each reachable node of the domain whose report differs from the state
   */
  public static List<Order> due(
      DomainState state, Bundle bundle, Map<String, NodeView> nodes, long epoch) {
    List<Order> orders = new ArrayList<>();
    for (NodeView view : nodes.values()) {
      boolean inDomain = view.node().domain().equals(state.domain());
      if (!inDomain || !view.isAlive() || view.node().service() != null) {
        continue;
      }
      NodeReport report = view.report();
      String name = view.node().name();
      Optional<Replica> replica = state.replicaOf(name);
      if (replica.isPresent() && !matches(report, replica.get())) {
        double size = bundle.model(replica.get().model()).map(Model::weightGigabytes).orElse(0.0);
        orders.add(Order.join(replica.get(), name, epoch, size));
      } else if (replica.isEmpty() && report.replica() != null) {
        orders.add(Order.leave(name, epoch, state.lastGeneration()));
      }
    }
    return orders;
  }

  /**
   * Returns an order that preloads weights on a spare node, unless a reachable node is loading
   * weights.
   *
   * @param states the data centre's domains
   * @param bundle the bundle in force
   * @param nodes the nodes by name
   * @param epoch the sender's lease epoch
   * @param settings whether spare nodes preload weights
   * @return at most one order, so that a replica that loads weights waits for at most one preload
   */
  public static List<Order> preloads(
      Collection<DomainState> states,
      Bundle bundle,
      Map<String, NodeView> nodes,
      long epoch,
      PlannerSettings settings) {
    boolean isLoading =
        nodes.values().stream()
            .anyMatch(view -> view.isAlive() && view.report().state() == NodeReport.State.LOADING);
    if (isLoading || !settings.uses(PlannerSettings.Feature.WARM_SPARES)) {
      return List.of();
    }
    for (DomainState state : states) {
      Optional<Model> model = mostUsed(state, bundle);
      if (model.isPresent()) {
        Optional<Order> order = preload(state, model.get(), nodes, epoch);
        if (order.isPresent()) {
          return List.of(order.get());
        }
      }
    }
    return List.of();
  }

  /** Returns the model that most nodes of the domain serve; it is the likeliest to need a spare. */
  private static Optional<Model> mostUsed(DomainState state, Bundle bundle) {
    Map<String, Integer> members = new HashMap<>();
    for (Replica replica : state.replicas()) {
      members.merge(replica.model(), replica.members().size(), Integer::sum);
    }
    return members.entrySet().stream()
        .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
        .flatMap(entry -> bundle.model(entry.getKey()));
  }

  private static Optional<Order> preload(
      DomainState state, Model model, Map<String, NodeView> nodes, long epoch) {
    String weights = model.name() + "@" + model.fullVersion();
    return nodes.values().stream()
        .filter(view -> view.node().domain().equals(state.domain()))
        .filter(view -> view.isAlive() && !view.node().leaving())
        .filter(view -> view.node().service() == null)
        .filter(view -> view.report().replica() == null && !view.holds(weights))
        .filter(view -> state.replicaOf(view.node().name()).isEmpty())
        .min(Comparator.comparing(view -> view.node().name()))
        .map(view -> Order.preload(view.node().name(), epoch, state.lastGeneration(), model));
  }

  private static boolean matches(NodeReport report, Replica replica) {
    boolean same =
        report.generation() == replica.generation()
            && replica.id().equals(report.replica())
            && replica.version().equals(report.version());
    boolean drains = report.state() == NodeReport.State.DRAINING;
    boolean loads = report.state() == NodeReport.State.LOADING;
    return same && (loads || drains == replica.draining());
  }
}
