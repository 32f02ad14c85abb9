package org.fawnvale.serving.core.model;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes name.
 *
 * @param name its name
 * @param maxConnections connections that one upstream of it accepts from all callers together
 * @param engine the arithmetic of its engines; null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, @Nullable EngineSpec engine) {}
