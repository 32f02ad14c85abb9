package org.fawnvale.serving.core.model;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes name.
 *
 * @param maxConnections connections that one upstream accepts in total
 * @param engine the performance parameters of its engines; null for a plain service
 * @param coldStart how its upstreams behave after a start; null when they need no warm-up
 */
public record ServiceSpec(
    String name, int maxConnections, @Nullable EngineSpec engine, @Nullable ColdStart coldStart) {

  /** Creates a service whose upstreams need no warm-up. */
  public ServiceSpec(String name, int maxConnections, @Nullable EngineSpec engine) {
    this(name, maxConnections, engine, null);
  }

  /**
   * The warm-up of an upstream. A cold upstream fails when it receives many more requests than it
   * bears.
   *
   * @param durationMillis how long an upstream is cold after its start, in milliseconds
   * @param perSecond requests per second that a cold upstream bears from all daemons together
   */
  public record ColdStart(int durationMillis, double perSecond) {}
}
