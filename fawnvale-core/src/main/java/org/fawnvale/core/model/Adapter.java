package org.fawnvale.core.model;

/**
 * An adapter that an engine loads on top of a model's weights.
 *
 * @param name the name of the adapter, unique within the model
 * @param version the version of the adapter
 */
public record Adapter(String name, String version) {}
