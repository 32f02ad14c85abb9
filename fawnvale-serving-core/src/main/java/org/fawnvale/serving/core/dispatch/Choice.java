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
   */
  record Refuse(String reason) implements Choice {}
}
