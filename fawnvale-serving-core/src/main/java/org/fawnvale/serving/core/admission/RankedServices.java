package org.fawnvale.serving.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;

/**
 * The services whose requests the operator has ranked: their routes have different priorities.
 * Elsewhere requests are admitted by the number of requests in flight, also if workspaces have
 * priorities: those alone would make callers of a whole workspace wait for others.
 */
public final class RankedServices {

  private RankedServices() {}

  /**
   * Finds the services.
   *
   * @param configuration a configuration
   * @return the names of the services whose routes differ in priority
   */
  public static Set<String> of(Configuration configuration) {
    Map<String, Integer> priorities = new HashMap<>();
    Set<String> ranked = new HashSet<>();
    for (Route route : configuration.routes()) {
      for (Route.Destination destination : route.destinations()) {
        Integer before = priorities.putIfAbsent(destination.service(), route.priority());
        if (before != null && before != route.priority()) {
          ranked.add(destination.service());
        }
      }
    }
    return ranked;
  }
}
