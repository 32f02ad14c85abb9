package org.fawnvale.daemon.gateway;

import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.core.routing.PrefixIndex;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.metrics.DaemonMetrics;
import org.fawnvale.upstream.UpstreamClient;

/** The components of the daemon that all requests use. */
final class SharedComponents {

  private final Context context;
  private final ReadinessTable table;
  private final UpstreamClient upstream;
  private final DaemonMetrics metrics;
  private final PrefixIndex index;
  private final AtomicLong hops = new AtomicLong();

  SharedComponents(
      Context context,
      ReadinessTable table,
      UpstreamClient upstream,
      DaemonMetrics metrics,
      PrefixIndex index) {
    this.index = index;
    this.context = context;
    this.table = table;
    this.upstream = upstream;
    this.metrics = metrics;
  }

  boolean mayServe(Target target) {
    long now = nowNanos();
    return target.replica() == null
        ? table.isAlive(target.node().name(), now)
        : table.mayServe(target.replica(), now);
  }

  void suspect(Target target) {
    table.suspect(target.node().name(), nowNanos());
  }

  String nextHop() {
    return context.identity().incarnation() + ":" + hops.incrementAndGet();
  }

  long nowNanos() {
    return context.nowNanos();
  }

  PrefixIndex index() {
    return index;
  }

  UpstreamClient upstream() {
    return upstream;
  }

  DaemonMetrics metrics() {
    return metrics;
  }

  DaemonSettings settings() {
    return context.settings();
  }
}
