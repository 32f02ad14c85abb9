package org.fawnvale.serving.core.model;

import java.util.List;

/**
 * A rule that sends requests of one host and path prefix to services.
 *
 * @param host the host that requests name
 * @param pathPrefix the prefix of the path; begins and ends with a slash
 * @param kind whether a request may be repeated
 * @param timeoutMillis the longest time that a request is held, in milliseconds
 * @param targetMillis the target time to the first event of an answer, in milliseconds
 * @param gapMillis the target for the longest pause between events, in milliseconds; 0 if there is
 *     none
 * @param priority its rank, 0 being highest
 * @param destinations the services that requests are sent to, by weight
 * @param maxAttempts the most upstreams that one request is sent to
 * @param anonymous whether requests need no key
 * @param resumable whether another upstream may resume a stream
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    int timeoutMillis,
    int targetMillis,
    int gapMillis,
    int priority,
    List<Destination> destinations,
    int maxAttempts,
    boolean anonymous,
    boolean resumable) {

  /**
   * A service with its weight within a route.
   *
   * @param service the name of the service
   * @param weight its weight, relative to the others of the route
   */
  public record Destination(String service, double weight) {}

  /**
   * Tells whether a request may run a second time.
   *
   * @return true for idempotent requests and for resumable streams
   */
  public boolean repeatable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
  }
}
