package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.Workspace;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against admission by urgency in deployments whose configuration ranks nothing. */
class RankedServicesTest {

  private static Route route(String service, int priority) {
    return new Route(
        service + priority,
        "host",
        "/" + service + "/",
        RouteKind.STREAMING,
        5_000,
        250,
        200,
        priority,
        List.of(new Route.Destination(service, 1)),
        2,
        false,
        true);
  }

  private static Configuration configuration(
      List<Route> routes, @Nullable Map<String, Workspace> workspaces) {
    return new Configuration(1, routes, Map.of(), workspaces, 1, 1, 1);
  }

  @Test
  void serviceWithRoutesOfDifferentPrioritiesIsRanked() {
    List<Route> routes = List.of(route("a", 0), route("a", 1), route("b", 2), route("b", 2));
    assertThat(RankedServices.of(configuration(routes, null))).containsExactly("a");
  }

  @Test
  void workspacesOfDifferentPrioritiesRankNothing() {
    Map<String, Workspace> workspaces =
        Map.of("k", new Workspace("w", 0), "l", new Workspace("v", -1));
    assertThat(RankedServices.of(configuration(List.of(route("a", 1)), workspaces))).isEmpty();
  }

  @Test
  void equalPrioritiesRankNothing() {
    Map<String, Workspace> workspaces =
        Map.of("k", new Workspace("w", -1), "l", new Workspace("v", -1));
    List<Route> routes = List.of(route("a", 1), route("a", 1), route("b", 2));
    assertThat(RankedServices.of(configuration(routes, workspaces))).isEmpty();
  }
}
