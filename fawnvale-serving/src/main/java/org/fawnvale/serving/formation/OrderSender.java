package org.fawnvale.serving.formation;

import java.io.IOException;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.http.WholeCall;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/** Sends orders to nodes and tells what came of each. */
final class OrderSender {

  private static final Logger LOG = LogManager.getLogger("formation");
  private static final long ORDER_MILLIS = 250;
  private static final long REPORT_MILLIS = 200;
  private static final int OK = 200;

  private final HttpClient client;
  private final Timers timers;
  private final Platform platform;
  private long sent;

  OrderSender(HttpClient client, Timers timers, Platform platform) {
    this.client = client;
    this.timers = timers;
    this.platform = platform;
  }

  long sent() {
    return sent;
  }

  void send(GroupOrder order, BiConsumer<GroupOrder, GroupOrder.Outcome> done) {
    sent++;
    WholeCall.send(
        client,
        timers,
        order.node().endpoint(),
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

  void report(GroupOrder question, BiConsumer<GroupOrder, @Nullable NodeReport> done) {
    WholeCall.send(
        client,
        timers,
        question.node().endpoint(),
        platform.order(question),
        REPORT_MILLIS,
        reply -> {
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

  private @Nullable NodeReport read(WholeCall.Reply reply) {
    if (!(reply instanceof WholeCall.Answered answer) || answer.status() != OK) {
      return null;
    }
    try {
      return platform.report(answer.body());
    } catch (IOException e) {
      LOG.warn("A report can't be read: {}.", e.toString());
      return null;
    }
  }

  private GroupOrder.Outcome outcome(WholeCall.Reply reply) {
    if (reply instanceof WholeCall.Answered answer) {
      return platform.outcome(answer.status());
    }
    ClientListener.Failure failure = ((WholeCall.Missing) reply).failure();
    return failure == ClientListener.Failure.REFUSED
        ? GroupOrder.Outcome.GONE
        : GroupOrder.Outcome.UNKNOWN;
  }
}
