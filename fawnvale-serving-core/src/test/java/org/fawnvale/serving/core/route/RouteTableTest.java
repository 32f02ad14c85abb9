package org.fawnvale.serving.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.junit.jupiter.api.Test;

/** Guards against proper requests without a route, and requests with a route that is not theirs. */
class RouteTableTest {

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "a.example",
        prefix,
        RouteKind.IDEMPOTENT,
        1_000,
        100,
        0,
        1,
        List.of(new Route.Destination("s", 1)),
        1,
        true,
        false);
  }

  private static String found(String host, String target) {
    List<Route> routes =
        List.of(
            route("short", "/a/"), route("long", "/a/b/"), route("letters", "/gr\u00f6\u00dfe/"));
    Route found =
        RouteTable.of(new Configuration(1, routes, Map.of(), null, 16_384, 1_000, 15_000))
            .find(host, target);
    return found == null ? "none" : found.name();
  }

  @Test
  void longestPrefixOfTheTargetAsSentDecides() {
    assertThat(found("a.example", "/a/x")).isEqualTo("short");
    assertThat(found("A.example:80", "/a/b/x?/a/")).isEqualTo("long");
    for (String target : List.of("//a/", "/b/a/", "a/", "http://a.example/a/", "", "*")) {
      assertThat(found("a.example", target)).as(target).isEqualTo("none");
    }
    assertThat(found("b.example", "/a/x")).isEqualTo("none");
  }

  /** A target holds the bytes of its letters, one character each. */
  @Test
  void lettersOutsideAsciiAreFoundInUtf8() {
    assertThat(found("a.example", "/gr\u00c3\u00b6\u00c3\u009fe/x")).isEqualTo("letters");
  }
}
