package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.Node;

/** Collects the orders of one plan and marks their nodes as awaiting a reply. */
final class OrderSink {

  private final OrderTracker tracker;
  private final long fence;
  private final List<GroupOrder> orders = new ArrayList<>();

  OrderSink(OrderTracker tracker, long fence) {
    this.tracker = tracker;
    this.fence = fence;
  }

  List<GroupOrder> orders() {
    return orders;
  }

  void add(Node node, GroupOrder.Kind kind, GroupKey key) {
    push(order(node, kind, key, OrderTracker.UNKNOWN));
  }

  /** Adds a leave with the expected order count if it is known, so that the count stays known. */
  void leave(Node node, GroupKey key) {
    push(order(node, GroupOrder.Kind.LEAVE, key, tracker.ordersInGroup(node.id(), key)));
  }

  private GroupOrder order(Node node, GroupOrder.Kind kind, GroupKey key, long expectedOrders) {
    return new GroupOrder(
        node, kind, key.name(), key.epoch(), null, List.of(), fence, expectedOrders);
  }

  void report(Node node) {
    push(GroupOrder.reportQuery(node, fence));
  }

  void join(Node node, FormationAttempt attempt, long expectedOrders) {
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
    tracker.recordSent(order.node().id());
    orders.add(order);
  }
}
