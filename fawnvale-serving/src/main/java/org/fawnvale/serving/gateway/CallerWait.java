package org.fawnvale.serving.gateway;

import java.util.Set;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;

/**
 * The wait of one request for an upstream, if its refusal would be final: its caller has come back
 * after a refusal, and nothing has run it. Callers of the methods hold the lock.
 */
final class CallerWait {

  private final Gateway gateway;
  private final CallerRequest request;
  private final Forwarder forwarder;
  private String reasonToSend = "first";
  private long waitedNanos;

  CallerWait(Gateway gateway, CallerRequest request, Forwarder forwarder) {
    this.gateway = gateway;
    this.request = request;
    this.forwarder = forwarder;
  }

  /**
   * Chooses an upstream. Others that wait for one go first.
   *
   * @param notRun whether no upstream may have run the request
   */
  Choice choose(DispatchRequest demand, Set<String> tried, boolean notRun) {
    WaitingCallers queue = gateway.waitingCallers();
    boolean mustWait = queue != null && isRefusalFinal(notRun) && queue.isAnyBefore(demand);
    return mustWait ? WaitingCallers.BEHIND_OTHERS : gateway.dispatcher().choose(demand, tried);
  }

  private boolean isRefusalFinal(boolean notRun) {
    return notRun && request.demand().admissionClass() == DispatchRequest.AdmissionClass.RETURNING;
  }

  /**
   * Begins to wait, if the queue has room.
   *
   * @param reason why the request will be sent, for the log
   * @param refusal why no upstream was chosen
   * @param notRun whether no upstream may have run the request
   * @return false if the request has to be refused now
   */
  boolean begin(String reason, Choice.Refuse refusal, boolean notRun) {
    WaitingCallers queue = gateway.waitingCallers();
    boolean begun =
        queue != null
            && isRefusalFinal(notRun)
            && queue.offer(this, request, RequestReader.rank(request), refusal);
    if (begun) {
      reasonToSend = reason;
    }
    return begun;
  }

  /**
   * Sends the waiting request if there is an upstream. Upstreams that rejected it before it waited
   * may have room now.
   *
   * @return false if it waits on
   */
  boolean tryToSend(WaitingCallers queue) {
    Choice choice = gateway.dispatcher().choose(request.demand(), Set.of());
    if (choice instanceof Choice.Send send) {
      queue.end(this, WaitingCallers.Outcome.SERVED);
      forwarder.sendBehindWait(send, reasonToSend);
      return true;
    }
    Choice.Refuse refusal = (Choice.Refuse) choice;
    if (!queue.outlastsWait(this, refusal)) {
      return false;
    }
    queue.end(this, WaitingCallers.Outcome.REFUSED);
    forwarder.refuse(refusal.reason());
    return true;
  }

  /** Refuses the request, which has waited in vain. */
  void refuse(String reason) {
    forwarder.refuse(reason);
  }

  /** Ends the wait; without effect if the request does not wait. */
  void end(WaitingCallers.Outcome outcome) {
    WaitingCallers queue = gateway.waitingCallers();
    if (queue != null) {
      queue.end(this, outcome);
    }
  }

  void ended(long nanos) {
    waitedNanos += nanos;
  }

  /** Returns how long the request has waited, in nanoseconds. */
  long waitedNanos() {
    return waitedNanos;
  }

  String requestId() {
    return request.id();
  }
}
