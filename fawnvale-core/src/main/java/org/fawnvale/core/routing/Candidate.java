package org.fawnvale.core.routing;

/**
 * A replica that a request may be sent to.
 *
 * @param key identifies the replica and its generation
 * @param load the estimated load of the replica
 * @param maximumConcurrent requests that the replica runs concurrently
 */
public record Candidate(String key, ReplicaLoad load, int maximumConcurrent) {}
