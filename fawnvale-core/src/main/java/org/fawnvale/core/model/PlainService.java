package org.fawnvale.core.model;

/**
 * A plain service; its upstreams are the nodes that offer it.
 *
 * @param name the name of the service in the request path
 * @param maximumConcurrent requests that one upstream runs concurrently
 */
public record PlainService(String name, int maximumConcurrent) {}
