package org.fawnvale.serving.core.model;

/**
 * A model that groups of engines serve.
 *
 * @param size the number of members of its groups
 * @param share its declared share of the work, 0 to 1
 * @param pace the factor by which all times of its groups are multiplied
 * @param loadMillis the time to load its weights from the weight store, in milliseconds
 * @param warmMillis the time to load its weights from the node's own host, in milliseconds
 */
public record ModelSpec(
    String name, int size, double share, double pace, int loadMillis, int warmMillis) {}
