package org.fawnvale.serving.core.model;

/** What may be done with a request a second time. */
public enum RouteKind {
  /** It may run more than once. */
  IDEMPOTENT,
  /** It may run once at most. */
  NON_IDEMPOTENT,
  /** Its answer is a stream of events. */
  STREAMING
}
