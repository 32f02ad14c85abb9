package org.fawnvale.daemon.coordinate;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.daemon.Context;
import org.fawnvale.upstream.EngineClient;
import org.fawnvale.upstream.OrderResult;

/** Sends an order only if the lease outlasts the order's timeout. */
final class OrderSender {

  private static final Logger LOG = LogManager.getLogger("order");
  private static final long MARGIN_MILLIS = 200;

  private final Context context;
  private final LeaseService lease;
  private final EngineClient engines;
  private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

  OrderSender(Context context, LeaseService lease, EngineClient engines) {
    this.context = context;
    this.lease = lease;
    this.engines = engines;
  }

  /**
   * Sends each order in a thread of its own, except to nodes that have an order in flight.
   *
   * <p>A new lease holder sends nothing until every order of the previous holder has timed out,
   * because not all upstreams check an order's epoch.
   */
  void send(List<Order> orders, Map<String, NodeView> nodes) {
    long timeout = context.settings().timing().orderTimeoutMillis();
    if (lease.heldMillis() < timeout + MARGIN_MILLIS) {
      return;
    }
    for (Order order : orders) {
      if (inFlight.add(order.node())) {
        context.executor().execute(() -> send(order, nodes.get(order.node()), timeout));
      }
    }
  }

  private void send(Order order, NodeView view, long timeout) {
    try {
      if (!lease.isHeldFor(timeout + MARGIN_MILLIS)) {
        return;
      }
      OrderResult result = engines.order(view.node(), order, timeout);
      if (result instanceof OrderResult.Refused refused) {
        LOG.warn("Node {} refused an order with status {}.", order.node(), refused.status());
      } else if (result instanceof OrderResult.Unknown unknown) {
        LOG.debug("Node {} did not answer an order: {}", order.node(), unknown.reason());
      }
    } finally {
      inFlight.remove(order.node());
    }
  }
}
