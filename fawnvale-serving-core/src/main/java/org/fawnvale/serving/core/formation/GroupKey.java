package org.fawnvale.serving.core.formation;

/**
 * Identity of a group: a name is never used for two lists of members, and epochs rise.
 *
 * @param name its name
 * @param epoch its epoch
 */
public record GroupKey(String name, long epoch) {}
