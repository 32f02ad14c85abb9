package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.model.Node;

/** The outcome of choosing an upstream for a request. */
public sealed interface Choice {
  /**
   * Send the request to an upstream.
   *
   * @param node the upstream
   * @param load the requests in flight at the upstream relative to its slots, as this daemon
   *     estimates them
   * @param needsPermit whether the daemon that owns the upstream's rate limit has to permit the
   *     request first
   */
  record Send(Node node, double load, boolean needsPermit) implements Choice {}

  /**
   * Send the request to no upstream for now.
   *
   * @param reason why, as logged and reported to the caller
   * @param retryAfterNanos nanoseconds until the first upstream ends its Retry-After pause or has
   *     room within its rate limit; {@link UpstreamGate#NOW} when no upstream pauses or is at its
   *     limit
   */
  record Refuse(String reason, long retryAfterNanos) implements Choice {}
}
