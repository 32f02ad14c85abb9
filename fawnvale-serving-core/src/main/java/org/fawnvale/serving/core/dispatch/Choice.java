package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.model.Node;

/** Where a request goes. */
public sealed interface Choice {

  /**
   * To an upstream.
   *
   * @param node the upstream
   * @param load its requests in flight relative to its slots, as this daemon estimates them
   * @param needsPermit whether the owner of the upstream's limit has to give leave first
   */
  record Send(Node node, double load, boolean needsPermit) implements Choice {}

  /**
   * Nowhere now.
   *
   * @param reason why
   * @param retryAfterNanos nanoseconds until the first upstream that rests may be asked again, or
   *     has room within its limit; {@link UpstreamGate#NOW} when it is for neither
   */
  record Refuse(String reason, long retryAfterNanos) implements Choice {}
}
