package org.fawnvale.serving.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.fawnvale.http.core.HeadText;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.Workspace;
import org.jspecify.annotations.Nullable;

/** Looks up the routes and API keys of one configuration. Immutable. */
public final class RouteTable {

  private final Configuration configuration;
  private final Map<String, List<PrefixedRoute>> byHost = new HashMap<>();

  private RouteTable(Configuration configuration) {
    this.configuration = configuration;
    for (Route route : configuration.routes()) {
      byHost
          .computeIfAbsent(normalized(route.host()), host -> new ArrayList<>())
          .add(new PrefixedRoute(HeadText.utf8(route.pathPrefix()), route));
    }
    Comparator<PrefixedRoute> longestFirst =
        Comparator.comparingInt((PrefixedRoute route) -> route.prefix().length()).reversed();
    byHost.values().forEach(routes -> routes.sort(longestFirst));
  }

  /** A route and its prefix as targets hold it, one character for each byte. */
  private record PrefixedRoute(String prefix, Route route) {}

  /** Creates the lookup of a configuration. */
  public static RouteTable of(Configuration configuration) {
    return new RouteTable(configuration);
  }

  /** Returns the configuration of this lookup. */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * @param host the request's host, with or without a port; case is ignored
   * @param target the request's path and query, one character for each byte
   * @return the route; null when there is none
   */
  public @Nullable Route find(String host, String target) {
    int colon = host.indexOf(':');
    List<PrefixedRoute> routes =
        byHost.get(normalized(colon < 0 ? host : host.substring(0, colon)));
    if (routes == null) {
      return null;
    }
    for (PrefixedRoute route : routes) {
      if (target.startsWith(route.prefix())) {
        return route.route();
      }
    }
    return null;
  }

  /**
   * Finds the workspace of a key.
   *
   * @param key the key; null when the request has none
   * @return the workspace; null when the key is missing or unknown, or when callers need no keys
   */
  public @Nullable Workspace workspace(@Nullable String key) {
    Map<String, Workspace> workspaces = configuration.workspaces();
    return workspaces == null || key == null ? null : workspaces.get(key);
  }

  /**
   * Tells whether requests of a route need a key.
   *
   * @return true when a request without a known key has to be refused
   */
  public boolean needsKey(Route route) {
    return configuration.workspaces() != null && !route.anonymous();
  }

  private static String normalized(String host) {
    return host.toLowerCase(Locale.ROOT);
  }
}
