package org.fawnvale.serving.gateway;

import java.util.Set;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/** Chooses the upstream that a stream is moved to. */
final class MoveTarget {

  private MoveTarget() {}

  /**
   * Chooses an upstream that can take the stream at once, and is not as slow as its own.
   *
   * @param demand what the request needs
   * @param current the stream's own upstream
   * @param excluded ids of upstreams to which it is not moved
   * @return the upstream; null if there is none
   */
  static @Nullable Node choose(
      Dispatcher dispatcher, DispatchRequest demand, Node current, Set<String> excluded) {
    Choice choice = dispatcher.choose(demand.asReturning(), excluded);
    if (!(choice instanceof Choice.Send send) || send.needsPermit()) {
      return null;
    }
    Node target = send.node();
    boolean bothSlow = dispatcher.isSlow(current) && dispatcher.isSlow(target);
    return bothSlow || dispatcher.state(target.id()).isPaused() ? null : target;
  }
}
