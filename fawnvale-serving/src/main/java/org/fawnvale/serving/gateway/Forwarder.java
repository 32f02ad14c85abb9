package org.fawnvale.serving.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.fawnvale.serving.core.dispatch.AttemptHistory;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.quarantine.CrashSuspects;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one request of a caller: chooses upstreams, retries where the route permits, resumes
 * broken streams at other upstreams and gives the caller exactly one final response. Callers of the
 * methods hold the lock.
 */
final class Forwarder {

  /** The most permit requests for one caller's request, since the caller waits for each reply. */
  private static final int MAX_PERMIT_REQUESTS = 3;

  /**
   * Upstreams that must have been out of reach for a request before another daemon forwards it. One
   * may just have ended.
   */
  private static final int UNREACHED_BEFORE_PEER = 2;

  private static final int CHOICE_RETRY_MILLIS = 100;

  /** The choice of a daemon that reaches no upstream, neither itself nor through others. */
  private static final Choice.Refuse NO_PATH =
      new Choice.Refuse("no upstream is reached", UpstreamGate.NOW);

  private static final String DAEMON_FAULT = "fault of the daemon";
  private static final String CONNECTION_BROKEN = "connection broken";
  private static final String DAEMON_EXITS = "daemon exits";
  private static final String PATH_LOST = "path to upstreams lost";
  private static final String TIMEOUT = "timeout";

  private final Gateway gateway;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final CallerStream stream;
  private final FinalAnswer answer;
  private final Set<String> tried = new HashSet<>();

  /** Ids of all nodes that were sent the request, also before it waited for an upstream. */
  private final Set<String> everSentTo = new HashSet<>();

  private final PeerRoute peers;
  private final RequestFingerprints fingerprints;
  private final AttemptsInFlight inFlight = new AttemptsInFlight();
  private @Nullable String lastAsked;
  private final UpstreamWait upstreamWait = new UpstreamWait();
  private final CallerWait wait;
  private final AttemptHistory attempts;
  private final SendPayments payments;
  private int unreached;
  private int permitRequests;
  private boolean trialRequested;
  private boolean refusedByUrgency;

  Forwarder(Gateway gateway, CallerRequest request, CallerResponse caller) {
    this.gateway = gateway;
    this.request = request;
    this.caller = caller;
    this.stream = new CallerStream(caller);
    this.fingerprints = new RequestFingerprints(request);
    this.peers = new PeerRoute(gateway, request);
    this.wait = new CallerWait(gateway, request, this);
    this.answer =
        new FinalAnswer(gateway, request, caller, stream, wait, () -> gateway.remove(this));
    this.attempts =
        request.isForwarded()
            ? AttemptHistory.ofForwarded(request.earlierAttempts())
            : new AttemptHistory();
    this.payments = new SendPayments(gateway, request);
  }

  void start() {
    answer.startTimer(() -> run(this::expire));
    run(this::begin);
  }

  /**
   * Runs a step of the request. One that fails ends the request with an error of this daemon: its
   * caller would otherwise wait for nothing, and the request would count as running.
   */
  void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      endAfterFault(e);
    }
  }

  private void endAfterFault(RuntimeException fault) {
    gateway.log().failed(request, fault);
    if (!isFinished()) {
      attempts.markMayHaveRun();
      List<RunningAttempt> running = inFlight.all();
      answer.fail(HttpStatus.SC_BAD_GATEWAY, DAEMON_FAULT, lastAsked);
      running.forEach(attempt -> attempt.cancel(false));
    }
  }

  private void begin() {
    if (gateway.upstreamPath().isLost() || gateway.admits(request)) {
      sendToNextUpstream("first");
    } else {
      refusedByUrgency = true;
      refuse(AdmissionControl.LESS_URGENT);
    }
  }

  boolean isFinished() {
    return answer.isGiven();
  }

  /** Returns the attempts that run now. */
  AttemptsInFlight inFlight() {
    return inFlight;
  }

  boolean isStreaming() {
    return request.route().kind() == RouteKind.STREAMING;
  }

  /** Returns by what the quarantine identifies the request. */
  RequestFingerprints fingerprints() {
    return fingerprints;
  }

  /** Cancels the request because it is quarantined: it crashes the nodes that run it. */
  void abortAsQuarantined() {
    if (!isFinished()) {
      run(this::endAsQuarantined);
    }
  }

  private void endAsQuarantined() {
    if (inFlight.earlier() != null) {
      giveUpAll("quarantined");
      attempts.markMayHaveRun();
    }
    refuse(gateway.quarantine().refusalReason(fingerprints));
  }

  private void sendToNextUpstream(String reason) {
    if (isLeftToOtherDaemons()) {
      refuse(Gateway.STOPPING);
      return;
    }
    if (gateway.quarantine().isQuarantined(fingerprints)) {
      requestTrialOrRefuse(reason);
      return;
    }
    boolean pathLost = gateway.upstreamPath().isLost();
    if (pathLost && sendToPeer(reason)) {
      return;
    }
    boolean notRun = attempts.isUntouched();
    Choice choice = pathLost ? NO_PATH : wait.choose(demand(), tried, notRun);
    if (peers.isPreferredTo(choice) && sendToPeer(reason)) {
      return;
    }
    if (choice instanceof Choice.Refuse refuse) {
      if (mayWaitForUpstream()) {
        gateway.timers().after(CHOICE_RETRY_MILLIS, () -> sendUnlessFinished(reason));
      } else if (wait.begin(reason, refuse, notRun)) {
        tried.clear();
      } else {
        refuse(refuse.reason());
      }
      return;
    }
    sendTo((Choice.Send) choice, reason);
  }

  /**
   * Returns whether the daemon exits before a request that has not run can be expected to end. One
   * that may have run can no longer be refused, and a stream that has begun may need little more.
   */
  private boolean isLeftToOtherDaemons() {
    return !attempts.mayHaveRun() && !stream.isBegun() && !gateway.mayBegin(request);
  }

  /**
   * Lets another daemon serve the request, because this one does not reach upstreams.
   *
   * @return false if there is none, or if another daemon has forwarded the request to this one
   */
  private boolean sendToPeer(String reason) {
    PeerForwarding forwarding = gateway.peerForwarding();
    PeerMessage peer = peers.next();
    if (forwarding == null || peer == null) {
      return false;
    }
    upstreamWait.end();
    int earlier = attempts.executedCount() + inFlight.all().size();
    SendPayment payment = payments.spend();
    PeerAttempt sent =
        new PeerAttempt(gateway, forwarding, request, caller, stream, this, peer, payment);
    inFlight.add(sent);
    gateway.log().forwarded(request, peer.name(), reason, attempts.count(), payment);
    sent.send(earlier);
    return true;
  }

  /** Sends the request, which has waited, to the chosen upstream. */
  void sendBehindWait(Choice.Send send, String reason) {
    run(() -> sendTo(send, reason));
  }

  /** Sends the request to the chosen upstream, after its permit if it needs one. */
  private void sendTo(Choice.Send send, String reason) {
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
    boolean mayRequestTrial =
        !trialRequested && gateway.quarantine().mayRequestTrial(fingerprints) && findsUpstream();
    if (!mayRequestTrial) {
      refuse(gateway.quarantine().refusalReason(fingerprints));
      return;
    }
    trialRequested = true;
    gateway.quarantine().requestTrial(fingerprints, granted -> sendUnlessFinished(reason));
  }

  /** Returns whether a granted trial would be sent, since it can't be given back. */
  private boolean findsUpstream() {
    return !gateway.upstreamPath().isLost()
        && gateway.dispatcher().choose(demand(), tried) instanceof Choice.Send;
  }

  private void sendUnlessFinished(String reason) {
    if (!isFinished()) {
      run(() -> sendToNextUpstream(reason));
    }
  }

  /**
   * Requests a permit from the daemon that owns the node's limit. A denial marks the node as full
   * for a while, so the next choice is another node.
   */
  private void requestPermit(Node node, String reason) {
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
    if (!isFinished()) {
      run(() -> sendIfGranted(node, reason, granted));
    }
  }

  private void sendIfGranted(Node node, String reason, boolean granted) {
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
    boolean mayHaveRun = attempts.hasExecuted() || inFlight.isMoving();
    return mayHaveRun ? request.demand().asReturning() : request.demand();
  }

  private void send(Node node, String reason) {
    tried.add(node.id());
    lastAsked = node.id();
    fingerprints.endPartTrial();
    SendPayment payment = payments.spend();
    gateway.log().sent(request, node, reason, attempts.count() + inFlight.all().size(), payment);
    UpstreamAttempt sent =
        new UpstreamAttempt(gateway, request, caller, stream, this, node, payment);
    inFlight.add(sent);
    gateway.quarantine().recordSend(fingerprints);
    AdmissionControl admission = gateway.admission();
    boolean again = !everSentTo.add(node.id());
    sent.send(admission == null ? null : admission.sent(demand(), node), again);
  }

  /**
   * Sends the stream to another upstream as well, because its own is stalled or slow. The first of
   * both that sends an event goes on, and the other one is ended: until then either may be the
   * sound one. The stream is not moved from one slow head to another, nor while all upstreams seem
   * to have stalled, nor here if another daemon has forwarded it: that one counts its attempts.
   *
   * @param excluded ids of upstreams to which it is not moved
   * @return whether the stream was sent to another upstream
   */
  boolean moveToAnotherUpstream(String reason, Set<String> excluded) {
    Node current = inFlight.node();
    if (current == null || !mayMove() || gateway.isPathDoubtful() || request.isForwarded()) {
      return false;
    }
    Set<String> notTo = new HashSet<>(tried);
    notTo.addAll(excluded);
    Node target = MoveTarget.choose(gateway.dispatcher(), request.demand(), current, notTo);
    if (target == null || !payments.isMovePaid()) {
      return false;
    }
    run(() -> send(target, reason));
    return true;
  }

  /** Returns whether the request may run at one more node beside the one that runs it. */
  private boolean mayMove() {
    return !isFinished()
        && !inFlight.isMoving()
        && !gateway.quarantine().isQuarantined(fingerprints)
        && attempts.allowsRetryOfCurrent(request.route())
        && attempts.allowsRetryAfterRejection();
  }

  /**
   * Lets another daemon serve the request, because this one has lost its path to the upstreams
   * while they had it. The upstream's answer counts until the other daemon's begins, since the path
   * may come back. A request that must not run twice stays with its upstream.
   */
  void leaveLostPath() {
    RunningAttempt running = inFlight.earlier();
    if (running == null || running.node() == null || !mayMove()) {
      return;
    }
    run(() -> leaveLostPath(running));
  }

  private void leaveLostPath(RunningAttempt running) {
    if (request.isForwarded()) {
      handBack(running);
    } else if (payments.isPaid()) {
      sendToPeer(PATH_LOST);
    }
  }

  /** Ends an attempt that may be sound, and tells why. */
  private void giveUp(RunningAttempt running, boolean failed, String reason) {
    gateway.log().givenUp(request, running, reason);
    running.cancel(failed);
  }

  private void giveUpAll(String reason) {
    inFlight.all().forEach(running -> giveUp(running, false, reason));
  }

  /**
   * Ends the other attempt, since this one answers.
   *
   * @param answering an attempt that has an event or a whole answer for the caller
   */
  void endOther(RunningAttempt answering) {
    boolean moved = inFlight.earlier() != answering;
    RunningAttempt other = inFlight.keepOnly(answering);
    if (other != null) {
      attempts.recordExecution();
      giveUp(other, moved, answering.target() + " answers first");
    }
  }

  /** Leaves the next attempt of a forwarded request to the daemon that has forwarded it. */
  private void handBack(RunningAttempt running) {
    inFlight.remove(running);
    giveUp(running, true, PATH_LOST);
    attempts.recordExecution();
    retryAfterExecution(PATH_LOST);
  }

  /** Continues after another daemon has not taken the request on; it has not run there. */
  void retryAtAnotherPeer(RunningAttempt ended, PeerMessage peer, String reason) {
    payments.takeBack(ended);
    if (inFlight.remove(ended)) {
      leaveIfPathIsLost();
    } else {
      sendToNextUpstream(peer.name() + " " + reason);
    }
  }

  private void leaveIfPathIsLost() {
    if (gateway.upstreamPath().isLost()) {
      leaveLostPath();
    }
  }

  /** Continues after an upstream of another daemon, or that daemon, has broken off. */
  void retryAfterPeerBroke(RunningAttempt ended, PeerMessage peer, String reason) {
    peers.mayReturnTo(peer);
    attempts.recordExecution();
    if (inFlight.remove(ended)) {
      leaveIfPathIsLost();
    } else {
      retryAfterExecution(reason);
    }
  }

  /** Sends the request to another upstream; the last one has not been sent anything. */
  void sendElsewhere(RunningAttempt ended, String reason) {
    payments.takeBack(ended);
    if (!inFlight.remove(ended)) {
      sendToNextUpstream(reason);
    }
  }

  /**
   * Retries after a broken connection, or a stream that its upstream broke off. If one more node
   * exit would quarantine the request, the retry waits until the probe has shown whether the node
   * exited.
   *
   * @param mayHaveCrashed whether the node had just begun to answer, so that a part of the prompt
   *     may have crashed it
   */
  void retryAfterBreak(RunningAttempt ended, Node node, boolean mayHaveCrashed) {
    attempts.recordExecution();
    CrashSuspects suspects = fingerprints.suspects(mayHaveCrashed);
    if (inFlight.remove(ended)) {
      gateway.quarantine().onConnectionBroken(suspects, node, () -> {});
    } else if (gateway.quarantine().isOneExitFromQuarantine(fingerprints)) {
      gateway.quarantine().onConnectionBroken(suspects, node, this::retryUnlessFinished);
    } else {
      gateway.quarantine().onConnectionBroken(suspects, node, () -> {});
      retryAfterExecution(CONNECTION_BROKEN);
    }
  }

  private void retryUnlessFinished() {
    if (!isFinished()) {
      run(() -> retryAfterExecution(CONNECTION_BROKEN));
    }
  }

  /** Retries after an attempt that may have run the request. */
  void retryAfterExecution(RunningAttempt ended, String reason) {
    attempts.recordExecution();
    if (!inFlight.remove(ended)) {
      retryAfterExecution(reason);
    }
  }

  private void retryAfterExecution(String reason) {
    retry(reason, attempts.allowsRetryAfterExecution(request.route()));
  }

  /** Retries after an attempt whose upstream did not run the request. */
  void retryAfterRejection(RunningAttempt ended, String reason) {
    attempts.recordRejection();
    if (!inFlight.remove(ended)) {
      retry(reason, attempts.allowsRetryAfterRejection());
    }
  }

  /**
   * Retries after an attempt that has not reached its upstream. It takes nothing from the retry
   * budget, since nothing has arrived.
   */
  void retryAfterUnreached(RunningAttempt ended, String reason) {
    payments.takeBack(ended);
    attempts.recordRejection();
    unreached++;
    if (inFlight.remove(ended) || unreached >= UNREACHED_BEFORE_PEER && sendToPeer(reason)) {
      return;
    }
    if (attempts.allowsRetryAfterRejection()) {
      sendToNextUpstream(reason);
    } else {
      retry(reason, false);
    }
  }

  private void retry(String reason, boolean allowed) {
    if (allowed && payments.isPaid()) {
      sendToNextUpstream(reason);
    } else if (attempts.mayHaveRun()) {
      answer.fail(HttpStatus.SC_BAD_GATEWAY, reason, lastAsked);
    } else {
      refuse(reason);
    }
  }

  /** Returns whether an error is not the caller's answer, since the request may be tried again. */
  boolean mayRetryAfterError(RunningAttempt failed) {
    return inFlight.hasOther(failed)
        || attempts.allowsRetryOfCurrent(request.route())
            && gateway.dispatcher().choose(request.demand().asReturning(), tried)
                instanceof Choice.Send;
  }

  /** Ends the caller's stream, which is complete. */
  void completeStream(RunningAttempt ended, HttpResponse head) {
    endOther(ended);
    answer.completeStream(ended, head);
  }

  /** Passes a whole response on. */
  void respond(RunningAttempt ended, HttpResponse head, byte[] body) {
    endOther(ended);
    answer.respond(ended, head, body);
  }

  /** Refuses the request as not run, unless an upstream may have run it. */
  void refuse(String reason) {
    run(() -> refuseUnlessRun(reason));
  }

  private void refuseUnlessRun(String reason) {
    if (attempts.mayHaveRun() || stream.isBegun()) {
      answer.fail(HttpStatus.SC_BAD_GATEWAY, reason, lastAsked);
      return;
    }
    answer.refuse(reason, retryAfterMillis(), lastAsked);
  }

  private int retryAfterMillis() {
    return gateway.quarantine().isQuarantined(fingerprints)
        ? gateway.quarantine().retryAfterMillis(fingerprints)
        : gateway.retryAfterMillis(request, tried, refusedByUrgency);
  }

  private void expire() {
    if (isFinished()) {
      return;
    }
    for (RunningAttempt running : inFlight.all()) {
      gateway.log().givenUp(request, running, TIMEOUT);
      running.expire();
      attempts.markMayHaveRun();
    }
    answer.fail(HttpStatus.SC_GATEWAY_TIMEOUT, TIMEOUT, lastAsked);
  }

  /**
   * Ends the request because the process exits: refuses it if it has not run, answers with an error
   * if it may have run, and cuts a stream.
   */
  void endBeforeExit() {
    if (!isFinished()) {
      run(this::endNow);
    }
  }

  private void endNow() {
    if (inFlight.earlier() == null) {
      refuse(DAEMON_EXITS);
    } else if (stream.isBegun()) {
      answer.cut(DAEMON_EXITS);
      leave(DAEMON_EXITS);
    } else {
      giveUpAll(DAEMON_EXITS);
      attempts.markMayHaveRun();
      answer.fail(HttpStatus.SC_BAD_GATEWAY, DAEMON_EXITS, lastAsked);
    }
  }

  /**
   * Cancels the upstream exchange because the caller has disconnected or was closed.
   *
   * @param reason what ended the request, for the log
   */
  void callerDisconnected(String reason) {
    if (!isFinished()) {
      run(() -> leave(reason));
    }
  }

  private void leave(String reason) {
    answer.giveUp(reason, lastAsked);
    giveUpAll(reason);
  }
}
