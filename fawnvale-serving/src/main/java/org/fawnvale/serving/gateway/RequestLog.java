package org.fawnvale.serving.gateway;

import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.http.ClientListener;
import org.jspecify.annotations.Nullable;

/** Tells what happened to each request: one line and one figure for each decision. */
final class RequestLog {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final GatewayMetrics figures;
  private final Dispatcher dispatcher;

  RequestLog(GatewayMetrics figures, Dispatcher dispatcher) {
    this.figures = figures;
    this.dispatcher = dispatcher;
  }

  void sent(CallerRequest request, Node node, String why, int earlier) {
    LOG.info(
        "request={} sent_to={} route={} config={} why={} claim={} earlier={} load={}",
        request.id(),
        node.id(),
        request.route().name(),
        request.version(),
        why,
        request.demand().admissionClass(),
        earlier,
        String.format(Locale.ROOT, "%.2f", dispatcher.load(node)));
  }

  void firstPiece(CallerRequest request, Node node) {
    long millis = (System.nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
    figures.firstPiece(request.route().name(), millis);
    if (millis > request.route().targetMillis()) {
      LOG.info(
          "request={} node={} first_piece_ms={} outcome=late", request.id(), node.id(), millis);
    }
  }

  void rejected(CallerRequest request, Node node, NodeResponse said) {
    LOG.info(
        "request={} node={} status={} faulty={} rest_ms={} leaving={} outcome=not_run",
        request.id(),
        node.id(),
        said.status(),
        said.faultyNode(),
        said.retryAfterMillis(),
        said.leaving());
    if (isHead(node) && said.faultyNode() != null) {
      dispatcher.state(node.id()).markSuspect(System.nanoTime());
    }
  }

  private static boolean isHead(Node node) {
    return node.membership() != null;
  }

  void upstreamUnreached(
      CallerRequest request, Node node, ClientListener.Failure failure, Exception cause) {
    LOG.info(
        "request={} node={} failure={} cause={}",
        request.id(),
        node.id(),
        failure,
        cause.toString());
    if (isHead(node)) {
      dispatcher.state(node.id()).markSuspect(System.nanoTime());
    }
  }

  /** The fingerprint tells which other attempts are repeats of the same request. */
  void upstreamBroke(
      CallerRequest request, Node node, Fingerprint fingerprint, long runMillis, Exception cause) {
    LOG.info(
        "request={} node={} failure={} fingerprint={} run_ms={} cause={}",
        request.id(),
        node.id(),
        ClientListener.Failure.BROKEN,
        fingerprint,
        runMillis,
        cause.toString());
  }

  void ended(CallerRequest request, int status, String reason, @Nullable Node node, int events) {
    long millis = (System.nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
    figures.ended(request.route().name(), status, millis);
    LOG.info(
        "request={} status={} reason={} node={} events={} ms={}",
        request.id(),
        status,
        reason,
        node == null ? null : node.id(),
        events,
        millis);
  }
}
