package org.fawnvale.serving.core.model;

/** How a request of a route runs and whether it may be repeated. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request may run at most once. */
  NON_IDEMPOTENT,
  /** The answer is a stream of events. */
  STREAMING
}
