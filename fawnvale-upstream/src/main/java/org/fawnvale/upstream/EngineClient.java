package org.fawnvale.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;

/** Sends orders to model engines and fetches their reports. */
public final class EngineClient {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAXIMUM_REPORT_BYTES = 64 * 1024;
  private static final int FIRST_ERROR_STATUS = 400;

  private final UpstreamClient client;
  private final LongSupplier nanoClock;
  private final String incarnation;
  private final AtomicLong number = new AtomicLong();

  private EngineClient(UpstreamClient client, LongSupplier nanoClock, String incarnation) {
    this.client = client;
    this.nanoClock = nanoClock;
    this.incarnation = incarnation;
  }

  /**
   * Creates a client.
   *
   * @param client client that sends the requests
   * @param nanoClock the monotonic clock, nanoseconds
   * @param incarnation incarnation of this daemon
   */
  public static EngineClient create(
      UpstreamClient client, LongSupplier nanoClock, String incarnation) {
    return new EngineClient(client, nanoClock, incarnation);
  }

  /**
   * Fetches a node's report.
   *
   * @param timeoutMillis timeout of the exchange, milliseconds
   * @return the report, or the reason why it is unavailable
   */
  public Result<NodeReport> report(Node node, long timeoutMillis) {
    OpenResult opened =
        client.open(
            request(node, "GET", "/report", new byte[0], false),
            Deadline.in(nanoClock, timeoutMillis));
    if (!(opened instanceof OpenResult.Opened answered)) {
      return unreachable(node, opened.toString());
    }
    try (OpenAnswer answer = answered.answer()) {
      if (answer.status() >= FIRST_ERROR_STATUS) {
        return unreachable(node, "status " + answer.status());
      }
      return answer
          .readWhole(MAXIMUM_REPORT_BYTES)
          .fold(body -> parse(node, body), Result::failure);
    }
  }

  /**
   * Returns whether a node accepts a new connection and does not close it before it answers a
   * request for its report. Such a node may pause; the engine of any other node has failed.
   *
   * @param timeoutMillis timeout of the exchange, milliseconds
   * @return true also if no answer arrives within the timeout
   */
  public boolean acceptsConnections(Node node, long timeoutMillis) {
    OpenResult opened =
        client.open(
            request(node, "GET", "/report", new byte[0], true),
            Deadline.in(nanoClock, timeoutMillis));
    if (opened instanceof OpenResult.Opened answered) {
      try (OpenAnswer answer = answered.answer()) {
        return answer.status() < FIRST_ERROR_STATUS;
      }
    }
    return opened instanceof OpenResult.Failed failed && failed.timedOut();
  }

  /**
   * Sends an order to a node's engine.
   *
   * @param timeoutMillis timeout of the exchange, milliseconds
   * @return the outcome
   */
  public OrderResult order(Node node, Order order, long timeoutMillis) {
    byte[] body;
    try {
      body = MAPPER.writeValueAsBytes(order);
    } catch (JsonProcessingException e) {
      return new OrderResult.Unknown("the order could not be written: " + e.getMessage());
    }
    OpenResult opened =
        client.open(
            request(node, "POST", "/order", body, false), Deadline.in(nanoClock, timeoutMillis));
    if (opened instanceof OpenResult.Opened answered) {
      try (OpenAnswer answer = answered.answer()) {
        int status = answer.status();
        return answer
            .readWhole(MAXIMUM_REPORT_BYTES)
            .<OrderResult>fold(
                whole ->
                    status < FIRST_ERROR_STATUS
                        ? new OrderResult.Taken()
                        : new OrderResult.Refused(status),
                problem -> new OrderResult.Unknown(problem.message()));
      }
    }
    return new OrderResult.Unknown(opened.toString());
  }

  private UpstreamRequest request(
      Node node, String method, String path, byte[] body, boolean freshConnection) {
    String hop = incarnation + ":control:" + number.incrementAndGet();
    return new UpstreamRequest(
        node.address(), method, node.path() + path, Map.of(), body, hop, true, freshConnection);
  }

  private static Result<NodeReport> parse(Node node, byte[] body) {
    try {
      NodeReport report = MAPPER.readValue(body, NodeReport.class);
      if (!node.name().equals(report.node())) {
        return unreachable(node, "another node answers: " + report.node());
      }
      return Result.success(report);
    } catch (IOException e) {
      return unreachable(node, "its report cannot be read");
    }
  }

  private static Result<NodeReport> unreachable(Node node, String reason) {
    return Result.failure(
        Problem.of(
            ProblemKind.UNAVAILABLE,
            "Node " + node.name() + " gives no report: " + reason + ".",
            "Look at the node's engine."));
  }
}
