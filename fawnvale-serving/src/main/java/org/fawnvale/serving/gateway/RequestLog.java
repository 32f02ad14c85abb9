package org.fawnvale.serving.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.HeardUpstreams;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.http.AnswerMatch;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.ConnectionUse;
import org.fawnvale.serving.http.ResponseFraming;
import org.jspecify.annotations.Nullable;

/** Logs and counts the decisions about each request. */
final class RequestLog {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Parts of a prompt in one line, since a caller may name many. */
  private static final int MAX_LOGGED_PARTS = 8;

  /** The status in the log of a request whose caller got no whole response. */
  private static final int NO_STATUS = 0;

  /** Ends of requests that may have run and were not answered. */
  private static final Set<Integer> FAILURES =
      Set.of(NO_STATUS, HttpStatus.SC_BAD_GATEWAY, HttpStatus.SC_GATEWAY_TIMEOUT);

  /** How long an event of a head shows that it lives, in nanoseconds: several of its passes. */
  private static final long HEARD_NANOS = 400_000_000L;

  private final GatewayMetrics metrics;
  private final Dispatcher dispatcher;
  private final String requestIdHeader;

  /**
   * Creates the log.
   *
   * @param requestIdHeader name of the header with a request's id
   */
  RequestLog(GatewayMetrics metrics, Dispatcher dispatcher, String requestIdHeader) {
    this.metrics = metrics;
    this.dispatcher = dispatcher;
    this.requestIdHeader = requestIdHeader;
  }

  void sent(
      CallerRequest request, Node node, String reason, int earlierAttempts, SendPayment payment) {
    metrics.sent(payment);
    LOG.info(
        "request={} sent_to={} route={} config={} why={} claim={} earlier={} paid_by={} load={}",
        request.id(),
        node.id(),
        request.route().name(),
        request.configurationVersion(),
        reason,
        request.demand().admissionClass(),
        earlierAttempts,
        payment,
        String.format(Locale.ROOT, "%.2f", dispatcher.load(node)));
  }

  /** Logs that another daemon is to serve a request. */
  void forwarded(
      CallerRequest request, String peer, String reason, int earlierAttempts, SendPayment payment) {
    metrics.forwarded();
    LOG.info(
        "request={} forwarded_to={} why={} earlier={} paid_by={}",
        request.id(),
        peer,
        reason,
        earlierAttempts,
        payment);
  }

  /**
   * Logs that this daemon itself ends an attempt, which might have gone on.
   *
   * @param attempt the attempt, before it is cancelled
   */
  void givenUp(CallerRequest request, RunningAttempt attempt, String reason) {
    metrics.givenUp();
    LOG.info(
        "request={} node={} why={} {} outcome=given_up",
        request.id(),
        attempt.target(),
        reason,
        attempt.describe());
  }

  /** Logs a fault of this daemon in a request, which ends by it. */
  void failed(CallerRequest request, RuntimeException fault) {
    metrics.failedInside();
    LOG.error("request={} why={} outcome=fault_of_daemon", request.id(), fault.toString(), fault);
  }

  /** Logs that this daemon cuts an answer of which its caller has received a part. */
  void cut(CallerRequest request, String reason, int events) {
    metrics.cut();
    LOG.warn(
        "request={} why={} events={} config={} outcome=answer_cut_by_daemon",
        request.id(),
        reason,
        events,
        request.configurationVersion());
  }

  /** Logs that another daemon was not reached, or that its connection broke. */
  void peerFailed(
      CallerRequest request, String peer, ClientListener.Failure failure, Exception cause) {
    LOG.info(
        "request={} peer={} failure={} cause={}", request.id(), peer, failure, cause.toString());
  }

  void firstResponsePart(CallerRequest request, Node node) {
    long millis = (System.nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
    metrics.firstResponsePart(request.route().name(), millis);
    if (millis > request.route().targetMillis()) {
      LOG.info(
          "request={} node={} first_piece_ms={} outcome=late", request.id(), node.id(), millis);
    }
  }

  /**
   * Logs an answer that came where the one to a request was due, and does not name that request.
   *
   * @param source id of the node, or name of the daemon, that sent it
   * @param use the connection that brought it
   * @param match what follows from the id in the answer
   */
  void foreignAnswer(
      CallerRequest request,
      String source,
      @Nullable ConnectionUse use,
      HttpResponse answer,
      AnswerMatch match) {
    metrics.foreignAnswer(answer.getCode());
    LOG.info(
        "request={} node={} connection={} use={} named={} status={} outcome={}",
        request.id(),
        source,
        use == null ? null : use.connection(),
        use == null ? 0 : use.number(),
        Headers.value(answer, requestIdHeader),
        answer.getCode(),
        match == AnswerMatch.OTHER ? "answer_passed_over" : "answer_names_no_request");
  }

  void rejected(CallerRequest request, Node node, NodeResponse signals) {
    LOG.info(
        "request={} node={} status={} faulty={} rest_ms={} leaving={} outcome=not_run",
        request.id(),
        node.id(),
        signals.status(),
        signals.faultyNode(),
        signals.retryAfterMillis(),
        signals.leaving());
    if (isHead(node) && signals.faultyNode() != null) {
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
    long now = System.nanoTime();
    UpstreamState state = dispatcher.state(node.id());
    if (isHead(node) && !state.progressedWithin(HEARD_NANOS, now)) {
      suspect(node, state, failure, now);
    }
  }

  /**
   * Suspects a head that has not just sent events; one that has lives on, and only this daemon's
   * new connections fail. A head that refuses connections has ended. If none opens in time, it may
   * pause together with most others.
   */
  private void suspect(Node node, UpstreamState state, ClientListener.Failure failure, long now) {
    if (failure == ClientListener.Failure.REFUSED) {
      state.markSuspect(now);
    } else if (!HeardUpstreams.count(dispatcher.statesBeside(node), state, now).isSilenceShared()) {
      state.markStalled(now);
    }
  }

  /**
   * Logs a broken connection, with the fingerprint that identifies other attempts of the same
   * request and the parts of the prompt that other requests may share.
   *
   * @param detail how long the request has run, and how far its answer had come
   */
  void upstreamBroke(
      CallerRequest request, Node node, Fingerprint fingerprint, String detail, Exception cause) {
    LOG.info(
        "request={} node={} failure={} fingerprint={} {} parts={} cause={}",
        request.id(),
        node.id(),
        ClientListener.Failure.BROKEN,
        fingerprint,
        detail,
        limited(request.promptParts()),
        cause.toString());
  }

  private static List<String> limited(List<String> parts) {
    return parts.size() <= MAX_LOGGED_PARTS ? parts : parts.subList(0, MAX_LOGGED_PARTS);
  }

  /**
   * Logs an answer that has neither a length nor chunks and whose connection has ended.
   *
   * @param partialBytes what followed a stream's last whole event, in bytes
   * @param exited whether its upstream no longer listens, so that the answer counts as cut
   */
  void answerEndedWithConnection(
      CallerRequest request, Node node, int partialBytes, boolean exited) {
    LOG.info(
        "request={} node={} partial_bytes={} exited={} outcome=ended_with_connection",
        request.id(),
        node.id(),
        partialBytes,
        exited);
  }

  /** Logs an answer that its upstream broke off, with what followed a stream's last whole event. */
  void answerBrokenOff(
      CallerRequest request, Node node, ResponseFraming framing, int partialBytes) {
    LOG.info(
        "request={} node={} framing={} partial_bytes={} outcome=answer_broken_off",
        request.id(),
        node.id(),
        framing,
        partialBytes);
  }

  /**
   * Logs the end of a request, with the time that it has waited for an upstream, if any. The end of
   * a failed one is a warning, which reaches the log also when its reader is slow.
   *
   * @param source id of the node that answered or was asked last; null if there was none
   */
  void ended(
      CallerRequest request,
      int status,
      String reason,
      @Nullable String source,
      int events,
      long waitedNanos) {
    long millis = (System.nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
    metrics.ended(request.route().name(), status, millis);
    if (Dispatcher.EVACUATED.equals(reason)) {
      metrics.refusedForEvacuation();
    }
    LOG.log(
        FAILURES.contains(status) ? Level.WARN : Level.INFO,
        "request={} status={} reason={} node={} events={} ms={}{}",
        request.id(),
        status,
        reason,
        source,
        events,
        millis,
        waitedNanos == 0 ? "" : " waited=" + waitedNanos / NANOS_PER_MILLI);
  }

  /**
   * Logs the end of a request that was not taken on: its caller left before.
   *
   * @param id the request's id; null if it names none
   */
  void endedEarly(@Nullable String id, String reason) {
    metrics.ended(GatewayMetrics.NO_ROUTE, NO_STATUS, 0);
    LOG.warn("request={} status={} reason={} node=null events=0 ms=0", id, NO_STATUS, reason);
  }

  /**
   * Logs that the connection to a caller ended before the whole response was written to it. The
   * response has its own line.
   *
   * @param id the request's id; null if it names none
   * @param unsentBytes bytes of the response's body that were not written
   */
  void notDelivered(@Nullable String id, String reason, int unsentBytes) {
    LOG.warn(
        "request={} status={} reason=answer not delivered: {} unsent_bytes={}",
        id,
        NO_STATUS,
        reason,
        unsentBytes);
  }
}
