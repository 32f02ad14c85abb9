package org.fawnvale.serving.core.shutdown;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** How long the last answered requests of each route took, from their receipt to their answer. */
public final class RouteDurations {

  /** Requests of a route that are kept: enough for a median, few enough to follow a change. */
  private static final int KEPT = 32;

  /** Requests without which a route's usual duration is unknown: one or two may be exceptions. */
  private static final int MIN_KNOWN = 4;

  private final Map<String, Recent> routes = new HashMap<>();

  private static final class Recent {
    private final long[] nanos = new long[KEPT];
    private int recorded;

    private void add(long duration) {
      nanos[recorded % KEPT] = duration;
      recorded++;
    }

    private OptionalLong median() {
      if (recorded < MIN_KNOWN) {
        return OptionalLong.empty();
      }
      long[] sorted = Arrays.copyOf(nanos, Math.min(recorded, KEPT));
      Arrays.sort(sorted);
      return OptionalLong.of(sorted[(sorted.length - 1) / 2]);
    }
  }

  /**
   * Records an answered request.
   *
   * @param route the name of its route
   * @param nanos its duration, in nanoseconds
   */
  public void record(String route, long nanos) {
    routes.computeIfAbsent(route, name -> new Recent()).add(nanos);
  }

  /**
   * Forgets all other routes, which the configuration no longer has.
   *
   * @param names the names of the routes that it has
   */
  public void retainRoutes(Set<String> names) {
    routes.keySet().retainAll(names);
  }

  /**
   * Returns the duration that half of the last requests of a route did not exceed.
   *
   * @param route the name of the route
   * @return the duration in nanoseconds; empty while too few are known
   */
  public OptionalLong usualNanos(String route) {
    Recent recent = routes.get(route);
    return recent == null ? OptionalLong.empty() : recent.median();
  }
}
