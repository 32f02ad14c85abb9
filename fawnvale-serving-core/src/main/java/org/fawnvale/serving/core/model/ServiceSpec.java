package org.fawnvale.serving.core.model;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes name.
 *
 * @param maxConnections connections that one upstream accepts in total
 * @param engine the performance parameters of its engines; null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, @Nullable EngineSpec engine) {}
