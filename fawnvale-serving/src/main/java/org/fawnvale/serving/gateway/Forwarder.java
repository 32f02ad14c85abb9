package org.fawnvale.serving.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.http.ClientExchange;
import org.fawnvale.serving.http.ClientListener;
import org.fawnvale.serving.http.NodeResponseListener;
import org.fawnvale.serving.spi.HeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request on its way: chooses upstreams, sends, repeats what may be repeated, takes a
 * stream up elsewhere, and gives exactly one final answer. All calls hold the guard.
 */
final class Forwarder {

  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int SERVER_ERROR = 500;
  private static final int REDIRECT = 300;
  private static final int SUCCESS = 200;
  private static final int MAX_REJECTIONS = 3;

  /** Owners that are asked for leave for one request: each question keeps the caller waiting. */
  private static final int MOST_QUESTIONS = 3;

  private static final int LOOK_AGAIN_MILLIS = 100;
  private static final String BROKEN = "connection broken";
  private static final String BARRED = "ends the nodes that run it";
  private static final long PLACE_PATIENCE_NANOS = 1_500_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Gateway gateway;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final Set<String> tried = new HashSet<>();
  private final EventSplitter events = new EventSplitter();
  private @Nullable Fingerprint fingerprint;
  private @Nullable Attempt attempt;
  private @Nullable ScheduledFuture<?> timeout;
  private long placelessSinceNanos;
  private int runs;
  private int rejections;
  private int questions;
  private boolean askedForTrial;
  private boolean mayHaveRun;
  private boolean begun;
  private boolean over;
  private long lastEventNanos;
  private int eventCount;

  Forwarder(Gateway gateway, CallerRequest request, CallerResponse caller) {
    this.gateway = gateway;
    this.request = request;
    this.caller = caller;
  }

  void start() {
    long left = (request.untilNanos() - System.nanoTime()) / NANOS_PER_MILLI;
    timeout = gateway.timers().after(left, this::expire);
    next("first");
  }

  boolean isOver() {
    return over;
  }

  @Nullable Node upstream() {
    Attempt running = attempt;
    return running == null ? null : running.node;
  }

  boolean streams() {
    return request.route().kind() == RouteKind.STREAMING;
  }

  /** What repeats of the request have in common with it; made when it is first asked for. */
  Fingerprint fingerprint() {
    Fingerprint made = fingerprint;
    if (made == null) {
      made = request.fingerprint();
      fingerprint = made;
    }
    return made;
  }

  /** Gives the request up, wherever it is: it has been found to end the nodes that run it. */
  void bar() {
    if (over) {
      return;
    }
    Attempt running = attempt;
    if (running != null) {
      running.giveUp(false);
      mayHaveRun = true;
    }
    refuse(BARRED);
  }

  private void next(String why) {
    if (gateway.quarantine().isBarred(this)) {
      tryOrRefuse(why);
      return;
    }
    Choice choice = gateway.dispatcher().choose(demand(), tried);
    if (choice instanceof Choice.Refuse refuse) {
      if (mayWaitForPlace()) {
        attempt = null;
        gateway.timers().after(LOOK_AGAIN_MILLIS, () -> lookAgain(why));
      } else {
        refuse(refuse.reason());
      }
      return;
    }
    placelessSinceNanos = 0;
    Choice.Send send = (Choice.Send) choice;
    if (send.needsPermit()) {
      askForLeave(send.node(), why);
    } else {
      send(send.node(), why);
    }
  }

  /**
   * One of all that ask for a barred request may try it once more after a while, wherever it is.
   */
  private void tryOrRefuse(String why) {
    boolean mayAsk = !askedForTrial && gateway.quarantine().isWorthATrial(this);
    if (!mayAsk) {
      refuse(BARRED);
      return;
    }
    askedForTrial = true;
    attempt = null;
    gateway.quarantine().askForTrial(this, granted -> goOnAfterTrialQuestion(why));
  }

  private void goOnAfterTrialQuestion(String why) {
    if (!over) {
      next(why);
    }
  }

  /**
   * Another daemon spends the limit of the only nodes that have room. Without leave the node has no
   * room for a while, so the next choice is another one.
   */
  private void askForLeave(Node node, String why) {
    attempt = null;
    if (questions == MOST_QUESTIONS) {
      refuse("every upstream is at its limit");
      return;
    }
    questions++;
    gateway.permitRequester().ask(node, granted -> goOnAfterQuestion(node, why, granted));
  }

  private void goOnAfterQuestion(Node node, String why, boolean granted) {
    if (over) {
      return;
    }
    if (granted) {
      send(node, why);
    } else {
      next(why);
    }
  }

  /**
   * A request whose work was cut off can't be refused any more: while its caller would still take
   * the rest, it waits for a place elsewhere. Groups are formed anew in about a second.
   */
  private boolean mayWaitForPlace() {
    if (runs == 0 || !request.route().repeatable()) {
      return false;
    }
    long now = System.nanoTime();
    if (placelessSinceNanos == 0) {
      placelessSinceNanos = now;
    }
    return now - placelessSinceNanos < PLACE_PATIENCE_NANOS;
  }

  private void lookAgain(String why) {
    if (!over) {
      next(why);
    }
  }

  private DispatchRequest demand() {
    return runs > 0 ? request.demand().asReturning() : request.demand();
  }

  private void send(Node node, String why) {
    tried.add(node.id());
    Attempt sent = new Attempt(node);
    attempt = sent;
    gateway.log().sent(request, node, why, runs + rejections);
    gateway.quarantine().sent(this);
    sent.state.requestSent(System.nanoTime());
    sent.exchange = gateway.client().send(node, outgoing(node), request.body(), sent);
  }

  private BasicHttpRequest outgoing(Node node) {
    HeaderNames names = gateway.headers();
    BasicHttpRequest out =
        new BasicHttpRequest(request.head().getMethod(), request.head().getRequestUri());
    for (Header header : Headers.passing(request.head())) {
      if (!gateway.setsItself(header.getName().toLowerCase(Locale.ROOT))) {
        out.addHeader(header);
      }
    }
    long left = Math.max(1, (request.untilNanos() - System.nanoTime()) / NANOS_PER_MILLI);
    out.addHeader(names.deadline(), String.valueOf(left));
    out.addHeader(names.expectedNode(), node.id());
    if (request.workspace() != null) {
      out.addHeader(names.workspace(), request.workspace().name());
    }
    String lastEvent = events.lastId();
    if (lastEvent != null) {
      out.setHeader(names.lastEvent(), lastEvent);
    }
    out.addHeader(names.priority(), String.valueOf(gateway.rank(request)));
    return out;
  }

  /** Takes the stream up elsewhere, since its upstream stands still. */
  boolean moveAway(String why) {
    Attempt running = attempt;
    Route route = request.route();
    if (over || running == null || !route.repeatable() || runs + 1 >= route.maxAttempts()) {
      return false;
    }
    Choice choice = gateway.dispatcher().choose(request.demand().asReturning(), tried);
    boolean surelyGoes = choice instanceof Choice.Send send && !send.needsPermit();
    if (!surelyGoes || !gateway.takeRepeat(request.demand().service())) {
      return false;
    }
    runs++;
    running.giveUp(true);
    events.dropRest();
    send(((Choice.Send) choice).node(), why);
    return true;
  }

  private void goOnAfterBreak() {
    if (!over) {
      retry(BROKEN, true);
    }
  }

  private void retry(String why, boolean ran) {
    Route route = request.route();
    if (ran) {
      runs++;
      mayHaveRun = true;
    } else {
      rejections++;
    }
    boolean allowed =
        ran ? route.repeatable() && runs < route.maxAttempts() : rejections <= MAX_REJECTIONS;
    if (allowed && gateway.takeRepeat(request.demand().service())) {
      events.dropRest();
      next(why);
    } else if (mayHaveRun) {
      finish(BAD_GATEWAY, why);
    } else {
      refuse(why);
    }
  }

  private void refuse(String reason) {
    if (mayHaveRun) {
      finish(BAD_GATEWAY, reason);
      return;
    }
    if (begun) {
      finish(BAD_GATEWAY, reason);
      return;
    }
    close();
    gateway.log().ended(request, UNAVAILABLE, reason, upstream(), eventCount);
    caller.whole(
        UNAVAILABLE,
        List.of(
            new BasicHeader(gateway.headers().requestId(), request.id()),
            new BasicHeader("Retry-After", Gateway.seconds(retryAfterMillis()))),
        new byte[0]);
  }

  private int retryAfterMillis() {
    return gateway.quarantine().isBarred(this)
        ? RequestQuarantine.RETRY_AFTER_MILLIS
        : gateway.retryAfterMillis(request, tried);
  }

  /** Ends the request without an upstream's answer: with a status, or by breaking it off. */
  private void finish(int status, String reason) {
    close();
    gateway.log().ended(request, status, reason, upstream(), eventCount);
    if (begun) {
      caller.abort();
    } else {
      caller.whole(
          status,
          List.of(new BasicHeader(gateway.headers().requestId(), request.id())),
          new byte[0]);
    }
  }

  private void close() {
    over = true;
    ScheduledFuture<?> timer = timeout;
    if (timer != null) {
      timer.cancel(false);
    }
    gateway.forget(this);
  }

  private void expire() {
    if (over) {
      return;
    }
    Attempt running = attempt;
    if (running != null) {
      if (running.head == null) {
        gateway.client().closeIdle(running.node.endpoint());
      }
      running.giveUp(false);
      mayHaveRun = true;
    }
    finish(GATEWAY_TIMEOUT, "timeout");
  }

  /** Ends the upstream's work, since the caller has left. */
  void callerGone() {
    if (over) {
      return;
    }
    close();
    Attempt running = attempt;
    if (running != null) {
      running.giveUp(false);
    }
    gateway.log().ended(request, 0, "caller left", upstream(), eventCount);
  }

  /** One sending of the request to one upstream. */
  private final class Attempt implements NodeResponseListener {
    private final Node node;
    private final UpstreamState state;
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final long sentNanos = System.nanoTime();
    private @Nullable ClientExchange exchange;
    private @Nullable HttpResponse head;
    private @Nullable NodeResponse said;
    private boolean streaming;
    private boolean answerBegun;
    private boolean done;

    Attempt(Node node) {
      this.node = node;
      this.state = gateway.dispatcher().state(node.id());
    }

    void giveUp(boolean failed) {
      if (done) {
        return;
      }
      settle(failed);
      ClientExchange running = exchange;
      if (running != null) {
        running.cancel();
      }
    }

    private void settle(boolean failed) {
      done = true;
      state.requestEnded(answerBegun, failed);
    }

    @Override
    public void head(HttpResponse answer, NodeResponse told) {
      head = answer;
      said = told;
      boolean success = answer.getCode() >= SUCCESS && answer.getCode() < REDIRECT;
      streaming = streams() && success && isMine(answer);
      state.recordProgress(System.nanoTime());
    }

    private boolean isMine(HttpResponse answer) {
      HeaderNames names = gateway.headers();
      String id = Headers.value(answer, names.requestId());
      boolean signed = answer.containsHeader(names.signature());
      return request.id().equals(id) && (signed || answer.getCode() >= REDIRECT);
    }

    @Override
    public void data(ByteBuffer data) {
      if (!streaming) {
        byte[] part = new byte[data.remaining()];
        data.get(part);
        whole.writeBytes(part);
        return;
      }
      byte[] events = Forwarder.this.events.add(data);
      if (events.length > 0) {
        pass(events);
      }
    }

    private void pass(byte[] part) {
      long now = System.nanoTime();
      gateway
          .streams()
          .sawEvent(node, state, now, answerBegun ? lastEventNanos : sentNanos, answerBegun);
      state.recordProgress(now);
      if (!answerBegun) {
        answerBegun = true;
        state.responseStarted();
        state.requestAccepted();
      }
      lastEventNanos = now;
      eventCount++;
      beginCaller();
      caller.write(part);
    }

    private void beginCaller() {
      HttpResponse answer = head;
      if (!begun && answer != null) {
        begun = true;
        caller.begin(answer.getCode(), Headers.passing(answer));
        gateway.log().firstPiece(request, node);
      }
    }

    @Override
    public void end() {
      HttpResponse answer = head;
      NodeResponse told = said;
      if (done || answer == null || told == null) {
        return;
      }
      if (streaming) {
        endStream();
      } else if (told.notRun()) {
        turnedAway(told);
      } else {
        endWhole(answer);
      }
    }

    private void turnedAway(NodeResponse told) {
      settle(false);
      state.requestRejected(System.nanoTime());
      gateway.log().rejected(request, node, told);
      retry("rejected with " + told.status(), false);
    }

    private void endStream() {
      byte[] rest = events.rest();
      settle(false);
      gateway.quarantine().answered(Forwarder.this);
      beginCaller();
      caller.write(rest);
      close();
      gateway.log().ended(request, SUCCESS, "complete", node, eventCount);
      caller.end();
    }

    private void endWhole(HttpResponse answer) {
      boolean mine = isMine(answer);
      int status = answer.getCode();
      settle(!mine || status >= SERVER_ERROR);
      state.requestAccepted();
      if (!mine) {
        retry("an answer that is not its own", true);
      } else if (begun || status >= SERVER_ERROR && mayTryAgain()) {
        retry("status " + status, true);
      } else {
        state.recordProgress(System.nanoTime());
        if (status < REDIRECT) {
          gateway.quarantine().answered(Forwarder.this);
        }
        close();
        gateway.log().ended(request, status, "answered", node, 1);
        caller.whole(status, Headers.passing(answer), whole.toByteArray());
      }
    }

    private boolean mayTryAgain() {
      return request.route().repeatable()
          && runs + 1 < request.route().maxAttempts()
          && gateway.dispatcher().choose(request.demand().asReturning(), tried)
              instanceof Choice.Send;
    }

    /** A request that one more end bars goes on only once it is known that there was none. */
    private void broke() {
      mayHaveRun = true;
      if (gateway.quarantine().isLastTry(Forwarder.this)) {
        attempt = null;
        gateway.quarantine().broke(fingerprint(), node, Forwarder.this::goOnAfterBreak);
      } else {
        gateway.quarantine().broke(fingerprint(), node, () -> {});
        retry(BROKEN, true);
      }
    }

    @Override
    public void failed(ClientListener.Failure failure, Exception cause) {
      if (done) {
        return;
      }
      settle(failure != ClientListener.Failure.HELD);
      if (failure == ClientListener.Failure.HELD) {
        next("held back");
      } else if (failure == ClientListener.Failure.BROKEN) {
        long runMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        gateway.log().upstreamBroke(request, node, fingerprint(), runMillis, cause);
        broke();
      } else {
        gateway.log().upstreamUnreached(request, node, failure, cause);
        retry("not reached: " + failure, false);
      }
    }
  }
}
