package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHeader;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Gives the caller of one request its final answer, once. The request ends, with its timer and its
 * count, only when the answer has been handed over: whatever fails before that leaves it open for
 * an error. Callers of the methods hold the lock.
 */
final class FinalAnswer {

  private static final int NO_STATUS = 0;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Gateway gateway;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final CallerStream stream;
  private final CallerWait wait;
  private final Runnable onGiven;
  private @Nullable ScheduledFuture<?> timeout;
  private boolean given;

  /**
   * Creates the final answer to one request.
   *
   * @param wait the request's wait for an upstream, which ends with the answer
   * @param onGiven runs once the answer has been given, or the caller has left
   */
  FinalAnswer(
      Gateway gateway,
      CallerRequest request,
      CallerResponse caller,
      CallerStream stream,
      CallerWait wait,
      Runnable onGiven) {
    this.gateway = gateway;
    this.request = request;
    this.caller = caller;
    this.stream = stream;
    this.wait = wait;
    this.onGiven = onGiven;
  }

  /** Runs a task at the time by which the caller must have the answer, unless it was given. */
  void startTimer(Runnable task) {
    long remainingMillis = (request.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI;
    timeout = gateway.timers().after(remainingMillis, task);
  }

  /** Returns whether the answer has been given, or the caller has left. */
  boolean isGiven() {
    return given;
  }

  /** Passes a whole response on. */
  void respond(RunningAttempt ended, HttpResponse head, byte[] body) {
    caller.respond(head.getCode(), Headers.endToEnd(head), body);
    close(WaitingCallers.Outcome.REFUSED);
    gateway.recordAnswered(request);
    gateway.log().ended(request, head.getCode(), "answered", ended.target(), 1, wait.waitedNanos());
  }

  /** Ends the caller's stream, which is complete. */
  void completeStream(RunningAttempt ended, HttpResponse head) {
    boolean first = !stream.isBegun();
    stream.complete(head);
    close(WaitingCallers.Outcome.REFUSED);
    Node node = ended.node();
    if (first && node != null) {
      gateway.log().firstResponsePart(request, node);
    }
    gateway.recordAnswered(request);
    logEnd(HttpStatus.SC_SUCCESS, "complete", ended.target());
  }

  /** Refuses the request as one that has not run. Figures include it once its caller knows. */
  void refuse(String reason, int retryAfterMillis, @Nullable String lastAsked) {
    AdmissionControl admission = gateway.admission();
    if (admission != null) {
      admission.refused(RequestReader.rank(request), reason);
    }
    Header retryAfter = new BasicHeader(HttpHeaders.RETRY_AFTER, Gateway.seconds(retryAfterMillis));
    caller.respond(
        HttpStatus.SC_SERVICE_UNAVAILABLE, List.of(requestId(), retryAfter), new byte[0]);
    close(WaitingCallers.Outcome.REFUSED);
    logEnd(HttpStatus.SC_SERVICE_UNAVAILABLE, reason, lastAsked);
  }

  /** Answers with an error, or aborts a stream that has begun. */
  void fail(int status, String reason, @Nullable String lastAsked) {
    if (stream.isBegun()) {
      cut(reason);
    } else {
      caller.respond(status, errorHeaders(status, reason), new byte[0]);
    }
    close(WaitingCallers.Outcome.REFUSED);
    logEnd(status, reason, lastAsked);
  }

  private List<Header> errorHeaders(int status, String reason) {
    List<Header> headers = new ArrayList<>();
    headers.add(requestId());
    if (request.isForwarded() && status == HttpStatus.SC_BAD_GATEWAY) {
      headers.add(new BasicHeader(PeerForwarding.BROKEN_OFF, reason));
    }
    return headers;
  }

  private Header requestId() {
    return new BasicHeader(gateway.headers().requestId(), request.id());
  }

  /** Cuts a stream that has begun, so that its caller can tell. */
  void cut(String reason) {
    caller.abort();
    gateway.log().cut(request, reason, stream.eventCount());
  }

  /** Ends the request without an answer, since its caller has left or was closed. */
  void giveUp(String reason, @Nullable String lastAsked) {
    close(WaitingCallers.Outcome.LEFT);
    logEnd(NO_STATUS, reason, lastAsked);
  }

  private void close(WaitingCallers.Outcome outcomeOfWait) {
    given = true;
    ScheduledFuture<?> timer = timeout;
    if (timer != null) {
      timer.cancel(false);
    }
    onGiven.run();
    wait.end(outcomeOfWait);
    gateway.wakeWaiting(request.demand());
  }

  private void logEnd(int status, String reason, @Nullable String source) {
    gateway.log().ended(request, status, reason, source, stream.eventCount(), wait.waitedNanos());
  }
}
