package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.http.CallerConnections;

/**
 * Lets callers' new connections be closed unread while this daemon is overloaded, and reports it as
 * metrics and log lines.
 */
final class OverloadUpdates {

  private static final Logger LOG = LogManager.getLogger("callers");

  private final CallerConnections connections;
  private boolean overloaded;

  OverloadUpdates(CallerConnections connections, MeterRegistry registry) {
    this.connections = connections;
    registry.gauge("fawnvale.callers.connections", connections, CallerConnections::openCount);
    FunctionCounter.builder(
            "fawnvale.callers.connections.closed", connections, CallerConnections::rejectedCount)
        .tag("reason", "rejected")
        .register(registry);
    FunctionCounter.builder(
            "fawnvale.callers.connections.closed", connections, CallerConnections::evictedCount)
        .tag("reason", "gave_way")
        .register(registry);
    FunctionCounter.builder(
            "fawnvale.callers.connections.closed", connections, CallerConnections::expiredCount)
        .tag("reason", "late")
        .register(registry);
  }

  /**
   * Updates the state.
   *
   * @param isOverloaded whether this daemon lacks processor time and has more to do than its peers
   */
  void update(boolean isOverloaded) {
    if (isOverloaded == overloaded) {
      return;
    }
    overloaded = isOverloaded;
    connections.setOverloaded(isOverloaded);
    LOG.info(
        "open={} rejected={} gave_way={} outcome={}",
        connections.openCount(),
        connections.rejectedCount(),
        connections.evictedCount(),
        isOverloaded ? "overloaded" : "accepts");
  }
}
