package org.fawnvale.serving.core.model;

/**
 * A workspace, to which callers' API keys belong.
 *
 * @param priority its rank, 0 being highest; negative when it has none
 */
public record Workspace(String name, int priority) {}
