package org.fawnvale.serving.formation;

import java.io.IOException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.formation.ReportOutcome;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.spi.Platform;

/** Sends orders to nodes and reports the outcome of each. */
final class OrderSender {

  private static final Logger LOG = LogManager.getLogger("formation");
  private static final long ORDER_TIMEOUT_MILLIS = 250;
  private static final long REPORT_TIMEOUT_MILLIS = 200;

  /** How long a new connection to a member of a suspected group may take to open. */
  private static final long CONNECT_TIMEOUT_MILLIS = 75;

  private static final int OK = 200;

  private final NodeClient client;
  private final Platform platform;
  private long ordersSent;

  OrderSender(NodeClient client, Platform platform) {
    this.client = client;
    this.platform = platform;
  }

  long ordersSent() {
    return ordersSent;
  }

  void send(GroupOrder order, BiConsumer<GroupOrder, GroupOrder.Outcome> done) {
    ordersSent++;
    client.call(
        order.node(),
        platform.order(order),
        ORDER_TIMEOUT_MILLIS,
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
   * Requests a report from a node.
   *
   * @param reportOrder order of kind {@code REPORT}
   * @param held receives the order if it was not sent because the node is in a Retry-After pause
   * @param done receives the order and the report, or why none was received
   */
  void report(
      GroupOrder reportOrder,
      Consumer<GroupOrder> held,
      BiConsumer<GroupOrder, ReportOutcome> done) {
    client.call(
        reportOrder.node(),
        platform.order(reportOrder),
        REPORT_TIMEOUT_MILLIS,
        reply -> {
          if (isHeld(reply)) {
            held.accept(reportOrder);
            return;
          }
          ReportOutcome outcome = reportOutcome(reply);
          logReport(reportOrder, outcome, reply);
          done.accept(reportOrder, outcome);
        });
  }

  /**
   * Requests a report over a new connection: an open one to a machine without power is silent like
   * one to a process that pauses.
   *
   * @param reportOrder order of kind {@code REPORT}
   * @param held receives the order if it was not sent because the node is in a Retry-After pause
   * @param done receives the order and the report, or why none was received
   */
  void reportOverNewConnection(
      GroupOrder reportOrder,
      Consumer<GroupOrder> held,
      BiConsumer<GroupOrder, ReportOutcome> done) {
    client.probe(
        reportOrder.node().endpoint(),
        CONNECT_TIMEOUT_MILLIS,
        result -> {
          if (result == HttpClient.ProbeResult.LISTENING) {
            report(reportOrder, held, done);
            return;
          }
          ReportOutcome.Missing missing =
              result == HttpClient.ProbeResult.REFUSED
                  ? ReportOutcome.Missing.REFUSED
                  : ReportOutcome.Missing.UNREACHABLE;
          LOG.info(
              "node={} order=REPORT outcome=UNKNOWN failure={}", reportOrder.node().id(), missing);
          done.accept(reportOrder, missing);
        });
  }

  private static void logReport(
      GroupOrder reportOrder, ReportOutcome outcome, BufferedCall.Reply reply) {
    String node = reportOrder.node().id();
    if (!(outcome instanceof ReportOutcome.Received received)) {
      Object failure = reply instanceof BufferedCall.Failed failed ? failed.failure() : outcome;
      LOG.info("node={} order=REPORT outcome=UNKNOWN failure={}", node, failure);
      return;
    }
    NodeReport report = received.report();
    Membership membership = report.membership();
    LOG.info(
        "node={} order=REPORT outcome=DONE orders={} group={} state={}",
        node,
        report.orders(),
        membership == null ? "" : membership.group(),
        membership == null ? "" : membership.state());
  }

  private ReportOutcome reportOutcome(BufferedCall.Reply reply) {
    if (reply instanceof BufferedCall.Answered answer) {
      return answer.status() == OK ? read(answer.body()) : ReportOutcome.Missing.UNREADABLE;
    }
    return switch (((BufferedCall.Failed) reply).failure()) {
      case REFUSED -> ReportOutcome.Missing.REFUSED;
      case UNREACHABLE -> ReportOutcome.Missing.UNREACHABLE;
      case BROKEN -> ReportOutcome.Missing.BROKEN;
      case SILENT, HELD -> ReportOutcome.Missing.SILENT;
    };
  }

  private ReportOutcome read(byte[] body) {
    try {
      return new ReportOutcome.Received(platform.report(body));
    } catch (IOException e) {
      LOG.warn("Ignoring a malformed node report: {}.", e.toString());
      return ReportOutcome.Missing.UNREADABLE;
    }
  }

  private GroupOrder.Outcome outcome(BufferedCall.Reply reply) {
    if (reply instanceof BufferedCall.Answered answer) {
      return platform.outcome(answer.status());
    }
    return switch (((BufferedCall.Failed) reply).failure()) {
      case REFUSED -> GroupOrder.Outcome.GONE;
      case HELD -> GroupOrder.Outcome.HELD;
      case UNREACHABLE, BROKEN, SILENT -> GroupOrder.Outcome.UNKNOWN;
    };
  }

  private static boolean isHeld(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Failed missing
        && missing.failure() == ClientListener.Failure.HELD;
  }
}
