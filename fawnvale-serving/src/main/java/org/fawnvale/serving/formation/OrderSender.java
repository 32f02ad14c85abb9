package org.fawnvale.serving.formation;

import java.io.IOException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/** Sends orders to nodes and tells what came of each. */
final class OrderSender {

  private static final Logger LOG = LogManager.getLogger("formation");
  private static final long ORDER_MILLIS = 250;
  private static final long REPORT_MILLIS = 200;
  private static final int OK = 200;

  private final NodeClient client;
  private final Platform platform;
  private long sent;

  OrderSender(NodeClient client, Platform platform) {
    this.client = client;
    this.platform = platform;
  }

  long sent() {
    return sent;
  }

  void send(GroupOrder order, BiConsumer<GroupOrder, GroupOrder.Outcome> done) {
    sent++;
    client.call(
        order.node(),
        platform.order(order),
        ORDER_MILLIS,
        reply -> {
          GroupOrder.Outcome outcome = outcome(reply);
          LOG.info(
              "node={} order={} group={} epoch={} fence={} expected={} outcome={}",
              order.node().id(),
              order.kind(),
              order.group(),
              order.epoch(),
              order.fence(),
              order.expectedOrders(),
              outcome);
          done.accept(order, outcome);
        });
  }

  /**
   * Asks a node for its report.
   *
   * @param question the question
   * @param held told when it was not sent, since the node rests: that says nothing of the node
   * @param done told of the report; null when none came
   */
  void report(
      GroupOrder question,
      Consumer<GroupOrder> held,
      BiConsumer<GroupOrder, @Nullable NodeReport> done) {
    client.call(
        question.node(),
        platform.order(question),
        REPORT_MILLIS,
        reply -> {
          if (isHeld(reply)) {
            held.accept(question);
            return;
          }
          NodeReport report = read(reply);
          logReport(question, report);
          done.accept(question, report);
        });
  }

  private static void logReport(GroupOrder question, @Nullable NodeReport report) {
    String node = question.node().id();
    if (report == null) {
      LOG.info("node={} order=REPORT outcome=UNKNOWN", node);
      return;
    }
    Membership place = report.membership();
    LOG.info(
        "node={} order=REPORT outcome=DONE orders={} group={} state={}",
        node,
        report.orders(),
        place == null ? "" : place.group(),
        place == null ? "" : place.state());
  }

  private @Nullable NodeReport read(BufferedCall.Reply reply) {
    if (!(reply instanceof BufferedCall.Answered answer) || answer.status() != OK) {
      return null;
    }
    try {
      return platform.report(answer.body());
    } catch (IOException e) {
      LOG.warn("A report can't be read: {}.", e.toString());
      return null;
    }
  }

  private GroupOrder.Outcome outcome(BufferedCall.Reply reply) {
    if (reply instanceof BufferedCall.Answered answer) {
      return platform.outcome(answer.status());
    }
    return switch (((BufferedCall.Failed) reply).failure()) {
      case REFUSED -> GroupOrder.Outcome.GONE;
      case HELD -> GroupOrder.Outcome.HELD;
      case UNREACHABLE, BROKEN -> GroupOrder.Outcome.UNKNOWN;
    };
  }

  private static boolean isHeld(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Failed missing
        && missing.failure() == ClientListener.Failure.HELD;
  }
}
