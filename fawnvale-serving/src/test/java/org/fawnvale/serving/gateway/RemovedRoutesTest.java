package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with each route that was ever asked for. */
class RemovedRoutesTest {

  private static final int CHANGES = 20;
  private static final int ROUTES = 10;

  private static Configuration configuration(int version) {
    List<Route> routes = new ArrayList<>();
    for (int number = 0; number < ROUTES; number++) {
      String name = "r" + version + "-" + number;
      routes.add(
          new Route(
              name,
              "localhost",
              "/" + name + "/",
              RouteKind.IDEMPOTENT,
              10_000,
              100,
              0,
              1,
              List.of(new Route.Destination("s", 1)),
              2,
              true,
              false));
    }
    return new Configuration(
        version, routes, Map.of("s", new ServiceSpec("s", 100, null)), null, 16_384, 1_000, 15_000);
  }

  @Test
  void metersOfRemovedRoutesAreDropped() throws Exception {
    try (RunningGateway running = new RunningGateway();
        ScriptedUpstream upstream =
            new ScriptedUpstream(
                head ->
                    "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 0\r\n\r\n")) {
      running.serve(List.of(upstream), "");
      int afterFirst = 0;
      for (int version = 1; version <= CHANGES; version++) {
        running.makeFleetKnown(configuration(version));
        for (int number = 0; number < ROUTES; number++) {
          assertThat(running.send("/r" + version + "-" + number + "/").statusCode()).isEqualTo(200);
        }
        afterFirst = version == 1 ? meters(running) : afterFirst;
      }
      assertThat(meters(running)).isEqualTo(afterFirst);
    }
  }

  private static int meters(RunningGateway running) {
    synchronized (running.lock()) {
      return running.registry().getMeters().size();
    }
  }
}
