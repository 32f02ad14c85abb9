package org.fawnvale.serving.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.Workspace;

/**
 * The services whose requests differ in urgency by the configuration: their routes or the
 * workspaces have different priorities. Where all requests are equally urgent, admission by urgency
 * has nothing to decide, and requests are admitted by the number of requests in flight.
 */
public final class RankedServices {

  private RankedServices() {}

  /**
   * Finds the services.
   *
   * @param configuration a configuration
   * @return the names of the services whose requests differ in urgency
   */
  public static Set<String> of(Configuration configuration) {
    boolean workspacesDiffer = workspacesDiffer(configuration);
    Map<String, Integer> priorities = new HashMap<>();
    Set<String> ranked = new HashSet<>();
    for (Route route : configuration.routes()) {
      for (Route.Destination destination : route.destinations()) {
        Integer before = priorities.putIfAbsent(destination.service(), route.priority());
        if (workspacesDiffer || before != null && before != route.priority()) {
          ranked.add(destination.service());
        }
      }
    }
    return ranked;
  }

  private static boolean workspacesDiffer(Configuration configuration) {
    Map<String, Workspace> workspaces = configuration.workspaces();
    return workspaces != null
        && workspaces.values().stream().mapToInt(Workspace::priority).distinct().count() > 1;
  }
}
