package org.fawnvale.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The operator's changes of the configuration since its first version. */
final class ConfigurationChanges {

  /** All larger than the deadline of callers, so that no timeout ends their requests. */
  private static final List<Integer> TIMEOUTS_MILLIS = List.of(20_000, 12_000, 16_000);

  /** All larger than the longest pause of callers; the first one is the daemons' default. */
  private static final List<Integer> IDLE_TIMEOUTS_MILLIS = List.of(15_000, 30_000, 8_000);

  private static final String SPARE_KEY = "spare-key-";

  private final List<Long> routes = new ArrayList<>();
  private final List<String> spareKeys = new ArrayList<>();
  private long newest;
  private int timeout;
  private int idleTimeout;

  ConfigurationChanges(long firstVersion) {
    newest = firstVersion;
  }

  /** Applies a change; where there is nothing to remove, the version adds one. */
  synchronized void apply(ConfigurationChange change, long version) {
    newest = version;
    switch (change) {
      case ROUTE_ADDED -> routes.add(version);
      case ROUTE_REMOVED -> removeRoute(version);
      case ROUTE_TIMEOUT -> timeout = (timeout + 1) % TIMEOUTS_MILLIS.size();
      case IDLE_TIMEOUT -> idleTimeout = (idleTimeout + 1) % IDLE_TIMEOUTS_MILLIS.size();
      case KEY_ADDED -> spareKeys.add(SPARE_KEY + version);
      case KEY_REMOVED -> removeKey(version);
      default -> throw new IllegalArgumentException("Unknown change " + change);
    }
  }

  private void removeRoute(long version) {
    if (routes.size() > 1) {
      routes.remove(0);
    } else {
      routes.add(version);
    }
  }

  private void removeKey(long version) {
    if (spareKeys.isEmpty()) {
      spareKeys.add(SPARE_KEY + version);
    } else {
      spareKeys.remove(0);
    }
  }

  synchronized long newestVersion() {
    return newest;
  }

  /** Returns whether the newest version has added a route. */
  synchronized boolean newestAddsRoute() {
    return routes.contains(newest);
  }

  /** Returns the newest configuration. */
  synchronized Map<String, Object> configuration(List<Map<String, Object>> models) {
    Map<String, Object> configuration =
        UsersConfiguration.of(newest, UsersConfiguration.STREAM_PATH, models, List.copyOf(routes));
    UsersConfiguration.setStreamTimeout(configuration, TIMEOUTS_MILLIS.get(timeout));
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("max_body_bytes", UsersConfiguration.MAX_BODY_BYTES);
    limits.put("idle_timeout_ms", IDLE_TIMEOUTS_MILLIS.get(idleTimeout));
    configuration.put("limits", limits);
    configuration.put("tenants", List.of(UsersConfiguration.tenant(spareKeys)));
    return configuration;
  }
}
