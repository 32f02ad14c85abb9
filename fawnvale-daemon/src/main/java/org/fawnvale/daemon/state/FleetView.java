package org.fawnvale.daemon.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Registration;
import org.fawnvale.core.model.Rollout;
import org.jspecify.annotations.Nullable;

/**
 * An immutable snapshot of the shared state.
 *
 * @param rollout the rollout, which names the latest and the accepted revision of the bundles
 * @param bundle the bundle in force; null before the first one
 * @param domains the fabric domains by object name
 * @param domainVersions the version of each domain's object, by object name
 * @param daemons all registered daemons
 * @param nodes the listed nodes by data centre
 */
public record FleetView(
    Rollout rollout,
    @Nullable Bundle bundle,
    Map<String, DomainState> domains,
    Map<String, Long> domainVersions,
    List<Registration> daemons,
    Map<String, List<Node>> nodes) {

  /** The state before any object is known. */
  public static final FleetView EMPTY =
      new FleetView(Rollout.EMPTY, null, Map.of(), Map.of(), List.of(), Map.of());

  /** Copies the collections. */
  public FleetView {
    domains = Map.copyOf(domains);
    domainVersions = Map.copyOf(domainVersions);
    daemons = List.copyOf(daemons);
    nodes = Map.copyOf(nodes);
  }

  /**
   * Returns the fabric domains of a data centre.
   *
   * @return the domains by domain name
   */
  public Map<String, DomainState> domainsOf(String dataCentre) {
    Map<String, DomainState> found = new HashMap<>();
    for (DomainState state : domains.values()) {
      if (state.dataCentre().equals(dataCentre)) {
        found.put(state.domain(), state);
      }
    }
    return found;
  }

  /**
   * Returns the nodes that the platform lists in a data centre.
   *
   * @return the nodes; empty for an unknown data centre
   */
  public List<Node> nodesOf(String dataCentre) {
    return nodes.getOrDefault(dataCentre, List.of());
  }

  /** Returns the registered daemons of a data centre. */
  public List<Registration> daemonsOf(String dataCentre) {
    List<Registration> found = new ArrayList<>();
    for (Registration daemon : daemons) {
      if (daemon.dataCentre().equals(dataCentre)) {
        found.add(daemon);
      }
    }
    return found;
  }
}
