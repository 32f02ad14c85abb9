package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.Node;

/** Collects the orders of one plan and marks their nodes as busy. */
final class OrderSink {

  private final OrderLog log;
  private final long fence;
  private final List<GroupOrder> orders = new ArrayList<>();

  OrderSink(OrderLog log, long fence) {
    this.log = log;
    this.fence = fence;
  }

  List<GroupOrder> orders() {
    return orders;
  }

  void add(Node node, GroupOrder.Kind kind, GroupKey key) {
    push(new GroupOrder(node, kind, key.name(), key.epoch(), null, List.of(), fence, -1));
  }

  void report(Node node) {
    push(new GroupOrder(node, GroupOrder.Kind.REPORT, "", 0, null, List.of(), fence, -1));
  }

  void join(Node node, Attempt attempt, long expectedOrders) {
    push(
        new GroupOrder(
            node,
            GroupOrder.Kind.JOIN,
            attempt.key.name(),
            attempt.key.epoch(),
            attempt.model.name(),
            attempt.members,
            fence,
            expectedOrders));
  }

  void stage(Node node, String model) {
    push(new GroupOrder(node, GroupOrder.Kind.STAGE, "", 0, model, List.of(), fence, -1));
  }

  private void push(GroupOrder order) {
    log.sending(order.node().id());
    orders.add(order);
  }
}
