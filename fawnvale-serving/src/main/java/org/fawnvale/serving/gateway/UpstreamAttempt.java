package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.fawnvale.http.core.NotRunStatus;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.flow.StreamEnd;
import org.fawnvale.serving.core.flow.StreamReading;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.http.AnswerBody;
import org.fawnvale.serving.http.AnswerMatch;
import org.fawnvale.serving.http.ClientExchange;
import org.fawnvale.serving.http.ConnectionUse;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.NodeResponseListener;
import org.fawnvale.serving.http.ResponseFraming;
import org.jspecify.annotations.Nullable;

/** One attempt to run a request at one upstream. Callers of the methods hold the lock. */
final class UpstreamAttempt implements RunningAttempt, NodeResponseListener {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * A stream that has stood still for less may come from a group that is dissolved once its streams
   * have ended. Less than the silence that counts against a head.
   */
  private static final long LEFT_BEHIND_NANOS = 100 * NANOS_PER_MILLI;

  private final Gateway gateway;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final CallerStream stream;
  private final Forwarder forwarder;
  private final Node node;
  private final UpstreamState state;
  private final SendPayment payment;
  private final StreamInput input;
  private final AnswerBody body = AnswerBody.forCaller();
  private final StreamReading reading = new StreamReading();
  private final AnswerProgress progress = new AnswerProgress();
  private final long sentNanos = System.nanoTime();
  private @Nullable ClientExchange exchange;
  private @Nullable ForecastedRequest forecast;
  private @Nullable HttpResponse head;
  private @Nullable NodeResponse headSignals;
  private boolean streaming;
  private boolean responseStarted;
  private boolean excluded;
  private boolean leftBehind;
  private boolean soundRecorded;
  private boolean done;

  /**
   * Creates an attempt.
   *
   * @param payment what pays for it
   */
  UpstreamAttempt(
      Gateway gateway,
      CallerRequest request,
      CallerResponse caller,
      CallerStream stream,
      Forwarder forwarder,
      Node node,
      SendPayment payment) {
    this.gateway = gateway;
    this.request = request;
    this.caller = caller;
    this.stream = stream;
    this.forwarder = forwarder;
    this.node = node;
    this.state = gateway.dispatcher().state(node.id());
    this.payment = payment;
    this.input = new StreamInput(stream);
  }

  /**
   * Sends the request.
   *
   * @param predicted the predicted times; null where requests are not admitted by them
   * @param again whether the node was sent the request before
   */
  void send(@Nullable ForecastedRequest predicted, boolean again) {
    forecast = predicted;
    state.requestSent(System.nanoTime());
    HttpRequest outgoing = UpstreamRequest.create(gateway, request, node, stream.lastEventId());
    NodeClient client = gateway.client();
    exchange =
        again
            ? client.sendAgain(node, outgoing, request.body(), this)
            : client.send(node, outgoing, request.body(), this);
  }

  @Override
  public Node node() {
    return node;
  }

  @Override
  public SendPayment payment() {
    return payment;
  }

  @Override
  public String target() {
    return node.id();
  }

  @Override
  public String describe() {
    long now = System.nanoTime();
    return "run_ms=%d silent_ms=%d %s"
        .formatted(
            (now - sentNanos) / NANOS_PER_MILLI,
            (now - state.lastProgressNanos()) / NANOS_PER_MILLI,
            progress.describe(now));
  }

  @Override
  public boolean hasBegun() {
    return progress.hasBegun();
  }

  @Override
  public void cancel(boolean failed) {
    if (done) {
      return;
    }
    recordEnd(failed);
    ClientExchange running = exchange;
    if (running != null) {
      running.cancel();
    }
  }

  @Override
  public void expire() {
    if (head == null) {
      gateway.client().closeIdle(node.endpoint());
      gateway.client().reportSilence(node);
    }
    cancel(false);
  }

  private void recordEnd(boolean failed) {
    done = true;
    input.end();
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
  public AnswerMatch match(HttpResponse response) {
    AnswerMatch match = UpstreamRequest.match(gateway, request, response);
    if (match != AnswerMatch.OWN) {
      gateway.log().foreignAnswer(request, node.id(), connectionUse(), response, match);
    }
    return match;
  }

  private @Nullable ConnectionUse connectionUse() {
    ClientExchange running = exchange;
    return running == null ? null : running.connectionUse();
  }

  @Override
  public void head(HttpResponse response, NodeResponse signals) {
    forwarder.run(() -> begin(response, signals));
  }

  private void begin(HttpResponse response, NodeResponse signals) {
    head = response;
    headSignals = signals;
    streaming = UpstreamRequest.isEventStream(gateway, request, response);
    long now = System.nanoTime();
    progress.begin(now);
    state.recordProgress(now);
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

  @Override
  public boolean isInputSuspended() {
    return reading.isSuspended();
  }

  @Override
  public void resumeInput() {
    ClientExchange running = exchange;
    if (!done && running != null && reading.isSuspended()) {
      int bytes = caller.readCapacity();
      if (bytes > 0) {
        reading.resume(System.nanoTime());
        running.resume(bytes);
      }
    }
  }

  /**
   * Excludes the stream from the evidence of the upstream's work while it is not current, and for
   * good once the upstream has left it behind: in its next group it would look silent.
   */
  @Override
  public void updateReading(long nowNanos) {
    leftBehind =
        leftBehind
            || responseStarted
                && silentNanos(nowNanos) > LEFT_BEHIND_NANOS
                && !gateway.dispatcher().servesGroupOf(node);
    boolean current = !leftBehind && reading.isCurrent(nowNanos);
    if (!current && !excluded && responseStarted && !done) {
      excluded = true;
      state.streamExcluded();
    } else if (current && excluded) {
      excluded = false;
      state.streamIncluded(nowNanos);
    }
  }

  @Override
  public boolean isLeftBehind() {
    return leftBehind;
  }

  /** Returns 0 while the daemon itself has delayed the stream for its caller. */
  private long silentNanos(long nowNanos) {
    if (!reading.isCurrent(nowNanos)) {
      return 0;
    }
    return nowNanos - (responseStarted ? stream.lastEventNanos() : sentNanos);
  }

  @Override
  public boolean isOverdue(long nowNanos) {
    Route route = request.route();
    int allowedMillis = responseStarted ? route.gapMillis() : route.targetMillis();
    return allowedMillis > 0 && silentNanos(nowNanos) > allowedMillis * NANOS_PER_MILLI;
  }

  @Override
  public void data(ByteBuffer data) {
    forwarder.run(() -> add(data));
  }

  private void add(ByteBuffer data) {
    if (!streaming) {
      caller.collect(data.remaining());
      if (!body.add(data)) {
        breakOffEndless("a body");
      }
      return;
    }
    if (!input.hasRoomFor(data)) {
      breakOffEndless("an event");
      return;
    }
    byte[] events = input.split(data);
    HttpResponse response = head;
    if (events.length > 0 && response != null) {
      forwardEvents(response, events);
    }
  }

  private void breakOffEndless(String what) {
    cancel(true);
    handleBreak(new IOException("The answer has " + what + " beyond the bound."));
  }

  private void forwardEvents(HttpResponse response, byte[] events) {
    forwarder.endOther(this);
    long now = System.nanoTime();
    progress.recordEvents(now);
    if (!soundRecorded && progress.isSound()) {
      soundRecorded = true;
      gateway.quarantine().recordAnswering(forwarder.fingerprints(), progress.begunNanos());
    }
    updateReading(now);
    if (!excluded) {
      recordEvent(now);
    }
    if (!responseStarted) {
      recordStart(now);
    }
    if (stream.forward(response, events, input.lastId(), now)) {
      gateway.log().firstResponsePart(request, node);
    }
  }

  private void recordStart(long now) {
    responseStarted = true;
    state.responseStarted();
    ForecastedRequest forecasted = forecast;
    if (forecasted != null) {
      forecasted.firstEvent(now);
    }
    state.requestAccepted();
  }

  private void recordEvent(long now) {
    long previous = responseStarted ? stream.lastEventNanos() : sentNanos;
    gateway.streamMonitor().recordEvent(node, state, now, previous, responseStarted);
    state.recordProgress(now);
  }

  @Override
  public void end() {
    forwarder.run(this::endWhole);
  }

  private void endWhole() {
    HttpResponse response = head;
    NodeResponse signals = headSignals;
    if (done || response == null || signals == null) {
      return;
    }
    if (isRejection(signals)) {
      handleRejection(signals);
    } else if (ResponseFraming.of(response).marksEnd()) {
      endAnswer(response);
    } else {
      gateway
          .quarantine()
          .checkExited(node, exited -> forwarder.run(() -> endUnmarkedAnswer(response, exited)));
    }
  }

  /** Returns whether the upstream says that it has not run the request; a success can't say so. */
  private static boolean isRejection(NodeResponse signals) {
    return signals.notRun() && signals.status() >= HttpStatus.SC_CLIENT_ERROR;
  }

  /**
   * Ends an answer that ended with its connection: it is whole only if its upstream still listens.
   * One that leaves may have stopped listening, or exited, behind its last answer; nothing tells
   * that from an answer that its exit has cut, which a caller must not take for whole.
   */
  private void endUnmarkedAnswer(HttpResponse response, boolean exited) {
    if (done) {
      return;
    }
    gateway.log().answerEndedWithConnection(request, node, input.partialLength(), exited);
    if (exited) {
      breakOff(response, "the upstream exited with the connection");
    } else {
      endAnswer(response);
    }
  }

  private void endAnswer(HttpResponse response) {
    if (streaming) {
      endStream(response);
    } else {
      completeResponse(response);
    }
  }

  private void breakOff(HttpResponse response, String description) {
    ResponseFraming framing = ResponseFraming.of(response);
    gateway.log().answerBrokenOff(request, node, framing, input.partialLength());
    recordEnd(true);
    handleBreak(new IOException(description));
  }

  private void handleRejection(NodeResponse signals) {
    recordEnd(false);
    state.requestRejected(System.nanoTime());
    gateway.log().rejected(request, node, signals);
    forwarder.retryAfterRejection(this, "rejected with " + signals.status());
  }

  private void endStream(HttpResponse response) {
    StreamEnd end = input.classifyEnd(ResponseFraming.of(response), responseStarted);
    if (end != StreamEnd.COMPLETE) {
      breakOff(response, end.description());
      return;
    }
    recordEnd(false);
    gateway.dispatcher().recordDuration(node, System.nanoTime() - sentNanos);
    gateway.quarantine().recordSuccess(forwarder.fingerprints(), progress.begunNanos());
    forwarder.completeStream(this, response);
  }

  private void completeResponse(HttpResponse response) {
    boolean signed = UpstreamRequest.isSigned(gateway, response);
    int status = response.getCode();
    boolean promises = NotRunStatus.includes(status);
    recordEnd(!signed || promises || status >= HttpStatus.SC_SERVER_ERROR);
    gateway.dispatcher().recordDuration(node, System.nanoTime() - sentNanos);
    state.requestAccepted();
    if (!signed) {
      forwarder.retryAfterExecution(this, "a success that is not signed");
    } else if (promises) {
      forwarder.retryAfterExecution(this, "status " + status + " though it may have run");
    } else if (stream.isBegun()
        || status >= HttpStatus.SC_SERVER_ERROR && forwarder.mayRetryAfterError(this)) {
      forwarder.retryAfterExecution(this, "status " + status);
    } else {
      state.recordProgress(System.nanoTime());
      if (status < HttpStatus.SC_REDIRECTION) {
        gateway.quarantine().recordSuccess(forwarder.fingerprints(), progress.begunNanos());
      }
      forwarder.respond(this, response, body.toByteArray());
    }
  }

  private void handleBreak(Exception cause) {
    gateway.log().upstreamBroke(request, node, forwarder.fingerprints().whole(), describe(), cause);
    forwarder.retryAfterBreak(this, node, progress.hasJustBegun(System.nanoTime()));
  }

  @Override
  public void failed(Failure failure, Exception cause) {
    if (!done) {
      forwarder.run(() -> endFailed(failure, cause));
    }
  }

  private void endFailed(Failure failure, Exception cause) {
    recordEnd(failure != Failure.HELD);
    if (failure == Failure.HELD) {
      forwarder.sendElsewhere(this, "held back");
    } else if (failure == Failure.BROKEN) {
      handleBreak(cause);
    } else {
      gateway.log().upstreamUnreached(request, node, failure, cause);
      forwarder.retryAfterUnreached(this, "not reached: " + failure);
    }
  }
}
