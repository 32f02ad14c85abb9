package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.fawnvale.http.core.NotRunStatus;
import org.fawnvale.serving.core.flow.StreamEnd;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.http.AnswerBody;
import org.fawnvale.serving.http.AnswerMatch;
import org.fawnvale.serving.http.ClientExchange;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.ResponseFraming;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to have a request served by another daemon, whose response is passed on, refusals
 * included. Callers of the methods hold the lock.
 */
final class PeerAttempt implements RunningAttempt, ClientListener {

  private final Gateway gateway;
  private final PeerForwarding forwarding;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final CallerStream stream;
  private final Forwarder forwarder;
  private final PeerMessage peer;
  private final SendPayment payment;
  private final long sentNanos = System.nanoTime();
  private final StreamInput input;
  private final AnswerBody body = AnswerBody.forCaller();
  private @Nullable ClientExchange exchange;
  private @Nullable HttpResponse head;
  private boolean streaming;
  private boolean anyEvent;
  private boolean suspended;
  private boolean done;

  /**
   * Creates an attempt.
   *
   * @param payment what pays for it
   */
  PeerAttempt(
      Gateway gateway,
      PeerForwarding forwarding,
      CallerRequest request,
      CallerResponse caller,
      CallerStream stream,
      Forwarder forwarder,
      PeerMessage peer,
      SendPayment payment) {
    this.gateway = gateway;
    this.forwarding = forwarding;
    this.request = request;
    this.caller = caller;
    this.stream = stream;
    this.forwarder = forwarder;
    this.peer = peer;
    this.payment = payment;
    this.input = new StreamInput(stream);
  }

  /**
   * Sends the request.
   *
   * @param attempts number of attempts that may have run it
   */
  void send(int attempts) {
    exchange =
        forwarding.send(peer, request, attempts, gateway.headers(), stream.lastEventId(), this);
  }

  @Override
  public @Nullable Node node() {
    return null;
  }

  @Override
  public void cancel(boolean failed) {
    if (done) {
      return;
    }
    close(exchange);
  }

  private void close(@Nullable ClientExchange running) {
    done = true;
    input.end();
    if (running != null) {
      running.cancel();
    }
  }

  @Override
  public void expire() {
    if (head == null) {
      forwarding.closeIdle(peer);
    }
    cancel(false);
  }

  @Override
  public SendPayment payment() {
    return payment;
  }

  @Override
  public String target() {
    return peer.name();
  }

  @Override
  public String describe() {
    long runMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    return "run_ms=%d begun=%s any_event=%s".formatted(runMillis, hasBegun(), anyEvent);
  }

  @Override
  public boolean hasBegun() {
    return head != null;
  }

  @Override
  public boolean isInputSuspended() {
    return suspended;
  }

  @Override
  public void resumeInput() {
    ClientExchange running = exchange;
    if (done || !suspended || running == null) {
      return;
    }
    int bytes = caller.readCapacity();
    if (bytes > 0) {
      suspended = false;
      running.resume(bytes);
    }
  }

  @Override
  public void updateReading(long nowNanos) {
    // The other daemon judges the upstream.
  }

  /** The other daemon judges the upstream. */
  @Override
  public boolean isLeftBehind() {
    return false;
  }

  @Override
  public boolean isOverdue(long nowNanos) {
    return false;
  }

  @Override
  public AnswerMatch match(HttpResponse response) {
    AnswerMatch match = UpstreamRequest.match(gateway, request, response);
    ClientExchange running = exchange;
    if (match != AnswerMatch.OWN && running != null) {
      gateway.log().foreignAnswer(request, peer.name(), running.connectionUse(), response, match);
    }
    return match;
  }

  @Override
  public void head(HttpResponse response) {
    head = response;
    streaming = UpstreamRequest.isEventStream(gateway, request, response);
  }

  @Override
  public int readCapacity() {
    int bytes = done ? Integer.MAX_VALUE : caller.readCapacity();
    suspended = bytes == 0;
    return bytes;
  }

  @Override
  public void data(ByteBuffer data) {
    forwarder.run(() -> add(data));
  }

  private void add(ByteBuffer data) {
    HttpResponse response = head;
    if (!streaming || response == null) {
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
    if (events.length > 0) {
      forwarder.endOther(this);
      anyEvent = true;
      stream.forward(response, events, input.lastId(), System.nanoTime());
    }
  }

  private void breakOffEndless(String what) {
    cancel(true);
    handleBreak(new IOException("The answer has " + what + " beyond the bound."));
  }

  @Override
  public void end() {
    forwarder.run(this::endWhole);
  }

  private void endWhole() {
    HttpResponse response = head;
    if (done || response == null) {
      return;
    }
    if (streaming) {
      endStream(response);
      return;
    }
    close(null);
    if (PeerForwarding.isDeclined(response)) {
      forwarder.retryAtAnotherPeer(this, peer, "declined with " + response.getCode());
    } else if (stream.isBegun()
        || !UpstreamRequest.isSigned(gateway, response)
        || PeerForwarding.isBrokenOff(response)
        || isPromiseOfUpstream(response)
        || isLeftToOther(response)) {
      forwarder.retryAfterPeerBroke(this, peer, "answered with " + response.getCode());
    } else {
      forwarder.respond(this, response, body.toByteArray());
    }
  }

  /** Returns whether an error is not the caller's answer, since another attempt may have one. */
  private boolean isLeftToOther(HttpResponse response) {
    return response.getCode() >= HttpStatus.SC_SERVER_ERROR && forwarder.inFlight().hasOther(this);
  }

  /** Returns whether an upstream, and not the other daemon itself, says that nothing has run. */
  private boolean isPromiseOfUpstream(HttpResponse response) {
    return NotRunStatus.includes(response.getCode())
        && response.containsHeader(gateway.headers().signature());
  }

  private void endStream(HttpResponse response) {
    StreamEnd end = input.classifyEnd(ResponseFraming.of(response), anyEvent);
    close(null);
    if (end == StreamEnd.COMPLETE) {
      forwarder.completeStream(this, response);
    } else {
      handleBreak(new IOException(end.description()));
    }
  }

  private void handleBreak(Exception cause) {
    gateway.log().peerFailed(request, peer.name(), Failure.BROKEN, cause);
    forwarder.retryAfterPeerBroke(this, peer, "connection to " + peer.name() + " broken");
  }

  @Override
  public void failed(Failure failure, Exception cause) {
    if (!done) {
      forwarder.run(() -> endFailed(failure, cause));
    }
  }

  private void endFailed(Failure failure, Exception cause) {
    close(null);
    if (failure == Failure.BROKEN) {
      handleBreak(cause);
    } else {
      gateway.log().peerFailed(request, peer.name(), failure, cause);
      forwarder.retryAtAnotherPeer(this, peer, "not reached: " + failure);
    }
  }
}
