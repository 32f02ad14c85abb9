package org.fawnvale.serving.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHeader;
import org.fawnvale.serving.core.dispatch.AttemptHistory;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.flow.StreamEnd;
import org.fawnvale.serving.core.flow.StreamReading;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.http.ClientExchange;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.NodeResponseListener;
import org.fawnvale.serving.http.ResponseFraming;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one request of a caller: chooses upstreams, retries where the route permits, resumes
 * broken streams at other upstreams and gives the caller exactly one final response. Callers of the
 * methods hold the lock.
 */
final class Forwarder {

  /** The most permit requests for one caller's request, since the caller waits for each reply. */
  private static final int MAX_PERMIT_REQUESTS = 3;

  private static final int CHOICE_RETRY_MILLIS = 100;
  private static final String CONNECTION_BROKEN = "connection broken";
  private static final String QUARANTINED = "ends the nodes that run it";
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Gateway gateway;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final Set<String> tried = new HashSet<>();
  private final EventSplitter events = new EventSplitter();
  private @Nullable Fingerprint fingerprint;
  private @Nullable Attempt attempt;
  private @Nullable ScheduledFuture<?> timeout;
  private final UpstreamWait upstreamWait = new UpstreamWait();
  private final CallerWait wait;
  private final AttemptHistory attempts = new AttemptHistory();
  private int permitRequests;
  private boolean trialRequested;
  private boolean refusedByUrgency;
  private boolean callerResponseStarted;
  private boolean finished;
  private long lastEventNanos;
  private int eventCount;

  Forwarder(Gateway gateway, CallerRequest request, CallerResponse caller) {
    this.gateway = gateway;
    this.request = request;
    this.caller = caller;
    this.wait = new CallerWait(gateway, request, this);
  }

  void start() {
    long remainingMillis = (request.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI;
    timeout = gateway.timers().after(remainingMillis, this::expire);
    if (gateway.admits(request)) {
      sendToNextUpstream("first");
    } else {
      refusedByUrgency = true;
      refuse(AdmissionControl.LESS_URGENT);
    }
  }

  boolean isFinished() {
    return finished;
  }

  @Nullable Node upstream() {
    Attempt running = attempt;
    return running == null ? null : running.node;
  }

  boolean isStreaming() {
    return request.route().kind() == RouteKind.STREAMING;
  }

  /** Returns whether the daemon reads its upstream no further until the caller has read. */
  boolean isInputSuspended() {
    Attempt running = attempt;
    return running != null && running.reading.isSuspended();
  }

  /** Counts the stream as evidence of its upstream's work again once it has caught up. */
  void updateReading(long nowNanos) {
    Attempt running = attempt;
    if (running != null) {
      running.updateReading(nowNanos);
    }
  }

  /** Reads on from the upstream, because the caller has read. */
  void resumeInput() {
    Attempt running = attempt;
    if (running != null) {
      running.resumeInput();
    }
  }

  /**
   * Returns whether the stream's next event is overdue by the targets of its route: the first one,
   * or the one after the last. Not while the daemon itself has delayed the stream for its caller.
   */
  boolean isOverdue(long now) {
    Attempt running = attempt;
    if (running == null || !running.reading.isCurrent(now)) {
      return false;
    }
    Route route = request.route();
    int allowedMillis = running.responseStarted ? route.gapMillis() : route.targetMillis();
    long since = running.responseStarted ? lastEventNanos : running.sentNanos;
    return allowedMillis > 0 && now - since > allowedMillis * NANOS_PER_MILLI;
  }

  /** Returns the fingerprint that all repeats of the request share; computed on first use. */
  Fingerprint fingerprint() {
    Fingerprint computed = fingerprint;
    if (computed == null) {
      computed = request.fingerprint();
      fingerprint = computed;
    }
    return computed;
  }

  /** Cancels the request because it is quarantined: it crashes the nodes that run it. */
  void abortAsQuarantined() {
    if (finished) {
      return;
    }
    Attempt running = attempt;
    if (running != null) {
      running.cancel(false);
      attempts.markMayHaveRun();
    }
    refuse(QUARANTINED);
  }

  private void sendToNextUpstream(String reason) {
    if (gateway.quarantine().isQuarantined(this)) {
      requestTrialOrRefuse(reason);
      return;
    }
    boolean notRun = attempts.isUntouched();
    Choice choice = wait.choose(demand(), tried, notRun);
    if (choice instanceof Choice.Refuse refuse) {
      if (mayWaitForUpstream()) {
        attempt = null;
        gateway.timers().after(CHOICE_RETRY_MILLIS, () -> sendUnlessFinished(reason));
      } else if (wait.begin(reason, refuse, notRun)) {
        attempt = null;
        tried.clear();
      } else {
        refuse(refuse.reason());
      }
      return;
    }
    sendTo((Choice.Send) choice, reason);
  }

  /** Sends the request to the chosen upstream, after its permit if it needs one. */
  void sendTo(Choice.Send send, String reason) {
    upstreamWait.end();
    if (send.needsPermit()) {
      requestPermit(send.node(), reason);
    } else {
      send(send.node(), reason);
    }
  }

  /**
   * Requests a trial for a quarantined request. The daemon that owns the request grants a trial to
   * one of the daemons that ask, after the request has been quarantined for a while.
   */
  private void requestTrialOrRefuse(String reason) {
    boolean mayRequestTrial = !trialRequested && gateway.quarantine().mayRequestTrial(this);
    if (!mayRequestTrial) {
      refuse(QUARANTINED);
      return;
    }
    trialRequested = true;
    attempt = null;
    gateway.quarantine().requestTrial(this, granted -> sendUnlessFinished(reason));
  }

  private void sendUnlessFinished(String reason) {
    if (!finished) {
      sendToNextUpstream(reason);
    }
  }

  /**
   * Requests a permit from the daemon that owns the node's limit. A denial marks the node as full
   * for a while, so the next choice is another node.
   */
  private void requestPermit(Node node, String reason) {
    attempt = null;
    if (permitRequests == MAX_PERMIT_REQUESTS) {
      refuse(gateway.dispatcher().reasonOfDenial(node));
      return;
    }
    permitRequests++;
    gateway
        .permitRequester()
        .request(node, granted -> continueAfterPermitReply(node, reason, granted));
  }

  private void continueAfterPermitReply(Node node, String reason, boolean granted) {
    if (finished) {
      return;
    }
    if (granted) {
      send(node, reason);
    } else {
      sendToNextUpstream(reason);
    }
  }

  /**
   * Returns whether an interrupted request may wait for another upstream. The gateway can no longer
   * refuse it as not run, and a replacement group usually forms in about a second.
   */
  private boolean mayWaitForUpstream() {
    boolean interrupted = attempts.hasExecuted() && request.route().repeatable();
    return interrupted && upstreamWait.mayWait(System.nanoTime());
  }

  private DispatchRequest demand() {
    return attempts.hasExecuted() ? request.demand().asReturning() : request.demand();
  }

  private void send(Node node, String reason) {
    tried.add(node.id());
    Attempt sent = new Attempt(node);
    attempt = sent;
    gateway.log().sent(request, node, reason, attempts.count());
    gateway.quarantine().recordSend(this);
    AdmissionControl admission = gateway.admission();
    if (admission != null) {
      sent.forecast = admission.sent(demand(), node);
    }
    sent.state.requestSent(System.nanoTime());
    sent.exchange =
        gateway
            .client()
            .send(
                node,
                UpstreamRequest.create(gateway, request, node, events.lastId()),
                request.body(),
                sent);
  }

  /**
   * Moves the stream to another upstream because its own is stalled or slow. It is not moved from
   * one slow head to another.
   *
   * @return whether the stream was moved
   */
  boolean moveToAnotherUpstream(String reason) {
    Attempt running = attempt;
    if (finished || running == null || !attempts.allowsRetryOfCurrent(request.route())) {
      return false;
    }
    Choice choice = gateway.dispatcher().choose(request.demand().asReturning(), tried);
    boolean canSendNow =
        choice instanceof Choice.Send send
            && !send.needsPermit()
            && !(gateway.dispatcher().isSlow(running.node)
                && gateway.dispatcher().isSlow(send.node()));
    if (!canSendNow || !gateway.takeRetry(request.demand().service())) {
      return false;
    }
    attempts.recordMove();
    running.cancel(true);
    events.discardPartial();
    send(((Choice.Send) choice).node(), reason);
    return true;
  }

  private void retryAfterBreak() {
    if (!finished) {
      retry(CONNECTION_BROKEN, true);
    }
  }

  private void retry(String reason, boolean attemptMayHaveRun) {
    if (attemptMayHaveRun) {
      attempts.recordExecution();
    } else {
      attempts.recordRejection();
    }
    boolean allowed =
        attemptMayHaveRun
            ? attempts.allowsRetryAfterExecution(request.route())
            : attempts.allowsRetryAfterRejection();
    if (allowed && gateway.takeRetry(request.demand().service())) {
      events.discardPartial();
      sendToNextUpstream(reason);
    } else if (attempts.mayHaveRun()) {
      finish(HttpStatus.SC_BAD_GATEWAY, reason);
    } else {
      refuse(reason);
    }
  }

  /** Refuses the request as not run, unless an upstream may have run it. */
  void refuse(String reason) {
    if (attempts.mayHaveRun() || callerResponseStarted) {
      finish(HttpStatus.SC_BAD_GATEWAY, reason);
      return;
    }
    close();
    AdmissionControl admission = gateway.admission();
    if (admission != null) {
      admission.refused(gateway.rank(request), reason);
    }
    gateway
        .log()
        .ended(
            request,
            HttpStatus.SC_SERVICE_UNAVAILABLE,
            reason,
            upstream(),
            eventCount,
            wait.waitedNanos());
    caller.respond(
        HttpStatus.SC_SERVICE_UNAVAILABLE,
        List.of(
            new BasicHeader(gateway.headers().requestId(), request.id()),
            new BasicHeader("Retry-After", Gateway.seconds(retryAfterMillis()))),
        new byte[0]);
  }

  private int retryAfterMillis() {
    return gateway.quarantine().isQuarantined(this)
        ? RequestQuarantine.RETRY_AFTER_MILLIS
        : gateway.retryAfterMillis(request, tried, refusedByUrgency);
  }

  /**
   * Ends the request without an upstream's response: sends a status or aborts a started response.
   */
  private void finish(int status, String reason) {
    close();
    gateway.log().ended(request, status, reason, upstream(), eventCount, wait.waitedNanos());
    if (callerResponseStarted) {
      caller.abort();
    } else {
      caller.respond(
          status,
          List.of(new BasicHeader(gateway.headers().requestId(), request.id())),
          new byte[0]);
    }
  }

  private void close() {
    finished = true;
    ScheduledFuture<?> timer = timeout;
    if (timer != null) {
      timer.cancel(false);
    }
    wait.end(WaitingCallers.Outcome.REFUSED);
    gateway.remove(this, request.demand());
  }

  private void expire() {
    if (finished) {
      return;
    }
    Attempt running = attempt;
    if (running != null) {
      if (running.head == null) {
        gateway.client().closeIdle(running.node.endpoint());
        gateway.client().reportSilence(running.node);
      }
      running.cancel(false);
      attempts.markMayHaveRun();
    }
    finish(HttpStatus.SC_GATEWAY_TIMEOUT, "timeout");
  }

  /**
   * Cancels the upstream exchange because the caller has disconnected or was closed.
   *
   * @param reason what ended the request, for the log
   */
  void callerDisconnected(String reason) {
    if (finished) {
      return;
    }
    wait.end(WaitingCallers.Outcome.LEFT);
    close();
    Attempt running = attempt;
    if (running != null) {
      running.cancel(false);
    }
    gateway.log().ended(request, 0, reason, upstream(), eventCount, wait.waitedNanos());
  }

  /** One attempt to run the request at one upstream. */
  private final class Attempt implements NodeResponseListener {
    private final Node node;
    private final UpstreamState state;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final StreamReading reading = new StreamReading();
    private final long sentNanos = System.nanoTime();
    private @Nullable ClientExchange exchange;
    private @Nullable ForecastedRequest forecast;
    private @Nullable HttpResponse head;
    private @Nullable NodeResponse headSignals;
    private boolean streaming;
    private boolean responseStarted;
    private boolean excluded;
    private boolean done;

    Attempt(Node node) {
      this.node = node;
      this.state = gateway.dispatcher().state(node.id());
    }

    void cancel(boolean failed) {
      if (done) {
        return;
      }
      recordEnd(failed);
      ClientExchange running = exchange;
      if (running != null) {
        running.cancel();
      }
    }

    private void recordEnd(boolean failed) {
      done = true;
      caller.endCollecting();
      if (excluded) {
        excluded = false;
        state.streamIncluded(System.nanoTime());
      }
      state.requestEnded(responseStarted, failed);
      ForecastedRequest forecasted = forecast;
      if (forecasted != null) {
        forecasted.ended();
      }
    }

    @Override
    public void head(HttpResponse response, NodeResponse signals) {
      head = response;
      headSignals = signals;
      boolean success =
          response.getCode() >= HttpStatus.SC_SUCCESS
              && response.getCode() < HttpStatus.SC_REDIRECTION;
      streaming =
          isStreaming()
              && success
              && Headers.mayBeEventStream(response)
              && UpstreamRequest.isAnsweredBy(gateway, request, response);
      state.recordProgress(System.nanoTime());
    }

    @Override
    public int readCapacity() {
      int bytes = done ? Integer.MAX_VALUE : caller.readCapacity();
      long now = System.nanoTime();
      if (bytes == 0) {
        reading.suspend();
        updateReading(now);
      } else if (reading.isSuspended()) {
        reading.resume(now);
      }
      return bytes;
    }

    private void resumeInput() {
      ClientExchange running = exchange;
      if (!done && running != null && reading.isSuspended()) {
        int bytes = caller.readCapacity();
        if (bytes > 0) {
          reading.resume(System.nanoTime());
          running.resume(bytes);
        }
      }
    }

    /** Excludes the stream from the evidence of the upstream's work while it is not current. */
    private void updateReading(long nowNanos) {
      boolean current = reading.isCurrent(nowNanos);
      if (!current && !excluded && responseStarted && !done) {
        excluded = true;
        state.streamExcluded();
      } else if (current && excluded) {
        excluded = false;
        state.streamIncluded(nowNanos);
      }
    }

    @Override
    public void data(ByteBuffer data) {
      if (!streaming) {
        caller.collect(data.remaining());
        byte[] part = new byte[data.remaining()];
        data.get(part);
        body.writeBytes(part);
        return;
      }
      byte[] events = Forwarder.this.events.add(data);
      caller.holdPartial(Forwarder.this.events.partialLength());
      if (events.length > 0) {
        forwardEvents(events);
      }
    }

    private void forwardEvents(byte[] part) {
      long now = System.nanoTime();
      updateReading(now);
      if (!excluded) {
        recordEvent(now);
      }
      if (!responseStarted) {
        responseStarted = true;
        state.responseStarted();
        ForecastedRequest forecasted = forecast;
        if (forecasted != null) {
          forecasted.firstEvent(now);
        }
        state.requestAccepted();
      }
      lastEventNanos = now;
      eventCount++;
      startCallerResponse();
      caller.write(part);
    }

    private void recordEvent(long now) {
      long previous = responseStarted ? lastEventNanos : sentNanos;
      gateway.streamMonitor().recordEvent(node, state, now, previous, responseStarted);
      state.recordProgress(now);
    }

    private void startCallerResponse() {
      HttpResponse response = head;
      if (!callerResponseStarted && response != null) {
        callerResponseStarted = true;
        caller.begin(response.getCode(), Headers.endToEnd(response));
        gateway.log().firstResponsePart(request, node);
      }
    }

    @Override
    public void end() {
      HttpResponse response = head;
      NodeResponse signals = headSignals;
      if (done || response == null || signals == null) {
        return;
      }
      if (streaming) {
        endStream(ResponseFraming.of(response));
      } else if (signals.notRun()) {
        handleRejection(signals);
      } else {
        completeResponse(response);
      }
    }

    private void handleRejection(NodeResponse signals) {
      recordEnd(false);
      state.requestRejected(System.nanoTime());
      gateway.log().rejected(request, node, signals);
      retry("rejected with " + signals.status(), false);
    }

    private void endStream(ResponseFraming framing) {
      int partialBytes = events.partialLength();
      StreamEnd end = StreamEnd.of(framing.marksEnd(), partialBytes, responseStarted);
      if (end != StreamEnd.COMPLETE) {
        gateway.log().streamBrokenOff(request, node, framing, partialBytes);
        recordEnd(true);
        handleBreak(new IOException(end.description()));
        return;
      }
      recordEnd(false);
      gateway.dispatcher().recordDuration(node, System.nanoTime() - sentNanos);
      gateway.quarantine().recordSuccess(Forwarder.this);
      startCallerResponse();
      close();
      gateway
          .log()
          .ended(request, HttpStatus.SC_SUCCESS, "complete", node, eventCount, wait.waitedNanos());
      caller.end();
    }

    private void completeResponse(HttpResponse response) {
      boolean matches = UpstreamRequest.isAnsweredBy(gateway, request, response);
      int status = response.getCode();
      recordEnd(!matches || status >= HttpStatus.SC_SERVER_ERROR);
      gateway.dispatcher().recordDuration(node, System.nanoTime() - sentNanos);
      state.requestAccepted();
      if (!matches) {
        retry("an answer that is not its own", true);
      } else if (callerResponseStarted
          || status >= HttpStatus.SC_SERVER_ERROR && mayRetryAfterError()) {
        retry("status " + status, true);
      } else {
        state.recordProgress(System.nanoTime());
        if (status < HttpStatus.SC_REDIRECTION) {
          gateway.quarantine().recordSuccess(Forwarder.this);
        }
        close();
        gateway.log().ended(request, status, "answered", node, 1, wait.waitedNanos());
        caller.respond(status, Headers.endToEnd(response), body.toByteArray());
      }
    }

    private boolean mayRetryAfterError() {
      return attempts.allowsRetryOfCurrent(request.route())
          && gateway.dispatcher().choose(request.demand().asReturning(), tried)
              instanceof Choice.Send;
    }

    /**
     * Handles a broken connection, or a stream that its upstream broke off. If one more node exit
     * would quarantine the request, the retry waits until the probe has shown whether the node
     * exited.
     */
    private void handleBreak(Exception cause) {
      long runMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
      gateway.log().upstreamBroke(request, node, fingerprint(), runMillis, cause);
      attempts.markMayHaveRun();
      if (gateway.quarantine().isOneExitFromQuarantine(Forwarder.this)) {
        attempt = null;
        gateway
            .quarantine()
            .onConnectionBroken(fingerprint(), node, Forwarder.this::retryAfterBreak);
      } else {
        gateway.quarantine().onConnectionBroken(fingerprint(), node, () -> {});
        retry(CONNECTION_BROKEN, true);
      }
    }

    @Override
    public void failed(ClientListener.Failure failure, Exception cause) {
      if (done) {
        return;
      }
      recordEnd(failure != ClientListener.Failure.HELD);
      if (failure == ClientListener.Failure.HELD) {
        sendToNextUpstream("held back");
      } else if (failure == ClientListener.Failure.BROKEN) {
        handleBreak(cause);
      } else {
        gateway.log().upstreamUnreached(request, node, failure, cause);
        retry("not reached: " + failure, false);
      }
    }
  }
}
