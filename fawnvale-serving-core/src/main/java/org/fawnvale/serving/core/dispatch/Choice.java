package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.model.Node;

/** Where a request goes. */
public sealed interface Choice {

  /**
   * To an upstream.
   *
   * @param node the upstream
   * @param load its requests in flight relative to its slots, as this daemon estimates them
   */
  record Send(Node node, double load) implements Choice {}

  /**
   * Nowhere now.
   *
   * @param reason why
   * @param restNanos nanoseconds until the first upstream that rests may be asked again; {@link
   *     UpstreamGate#NOW} when it is not for rest
   */
  record Refuse(String reason, long restNanos) implements Choice {}
}
