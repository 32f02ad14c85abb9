package org.fawnvale.core.planning;

import java.util.List;
import java.util.Map;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;

/**
 * The complete input of the planner.
 *
 * @param dataCentre the data centre to plan
 * @param bundle the bundle in force
 * @param rolling true while a rollout upgrades replicas to the versions of the bundle
 * @param domains the fabric domains of the data centre, in a fixed order
 * @param nodes all known nodes of the data centre by name, including nodes that the platform does
 *     not list
 * @param settings the planner's settings
 * @param operation identifier of the plan, stored in the domain states that it changes
 */
public record PlanInput(
    String dataCentre,
    Bundle bundle,
    boolean rolling,
    List<DomainState> domains,
    Map<String, NodeView> nodes,
    PlannerSettings settings,
    String operation) {

  /** Copies the collections. */
  public PlanInput {
    domains = List.copyOf(domains);
    nodes = Map.copyOf(nodes);
  }
}
