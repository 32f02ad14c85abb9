package org.fawnvale.serving.core.model;

/**
 * A model that groups of engines serve.
 *
 * @param name its name
 * @param size the members that a group of it has
 * @param share its share of the work, 0 to 1
 * @param timeFactor the factor on all times of its groups
 * @param loadMillis the time to load its weights from the weight store, in milliseconds
 * @param warmMillis the time to load its weights from the host, in milliseconds
 */
public record ModelSpec(
    String name, int size, double share, double timeFactor, int loadMillis, int warmMillis) {}
