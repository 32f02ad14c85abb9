package org.fawnvale.daemon.evidence;

import java.util.Map;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;
import org.fawnvale.daemon.Context;
import org.fawnvale.upstream.Deadline;
import org.fawnvale.upstream.EngineClient;
import org.fawnvale.upstream.OpenAnswer;
import org.fawnvale.upstream.OpenResult;
import org.fawnvale.upstream.UpstreamClient;
import org.fawnvale.upstream.UpstreamRequest;

/** Probes a node: requests an engine's report, or the health endpoint of a plain service. */
public final class NodeProbe {

  private static final int MAXIMUM_HEALTH_BYTES = 64 * 1024;
  private static final int FIRST_ERROR_STATUS = 400;

  private final EngineClient engines;
  private final UpstreamClient upstream;
  private final Context context;

  private NodeProbe(EngineClient engines, UpstreamClient upstream, Context context) {
    this.engines = engines;
    this.upstream = upstream;
    this.context = context;
  }

  /**
   * Creates a probe.
   *
   * @param engines the client for engines
   * @param upstream the client for plain services
   * @param context the daemon's settings, identity, clocks and executors
   */
  public static NodeProbe create(EngineClient engines, UpstreamClient upstream, Context context) {
    return new NodeProbe(engines, upstream, context);
  }

  /**
   * Probes a node.
   *
   * @param timeoutMillis the timeout in milliseconds
   * @return the node's report, or the problem that prevented it
   */
  public Result<NodeReport> ask(Node node, long timeoutMillis) {
    return node.service() == null
        ? engines.report(node, timeoutMillis)
        : health(node, timeoutMillis);
  }

  private Result<NodeReport> health(Node node, long timeoutMillis) {
    String hop = context.identity().incarnation() + ":health:" + context.nowNanos();
    UpstreamRequest request =
        new UpstreamRequest(
            node.address(),
            "GET",
            node.path() + "/health",
            Map.of(),
            new byte[0],
            hop,
            false,
            false);
    Deadline deadline = Deadline.in(context.nanoClock(), timeoutMillis);
    if (upstream.open(request, deadline) instanceof OpenResult.Opened opened) {
      try (OpenAnswer answer = opened.answer()) {
        boolean complete = answer.readWhole(MAXIMUM_HEALTH_BYTES).isSuccess();
        if (complete && answer.status() < FIRST_ERROR_STATUS) {
          return Result.success(healthy(node));
        }
      }
    }
    return Result.failure(
        Problem.of(
            ProblemKind.UNAVAILABLE,
            "Node " + node.name() + " of service " + node.service() + " failed its health check.",
            "Check the service and its health endpoint."));
  }

  private static NodeReport healthy(Node node) {
    return new NodeReport(node.name(), "", null, 0, null, null, NodeReport.State.IDLE, 0, 0);
  }
}
