package org.fawnvale.serving.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.admission.Waiting;
import org.fawnvale.serving.core.admission.WaitingQueue;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.http.Timers;

/**
 * Holds requests that wait for an upstream because their refusal would be final. The most urgent
 * ones are sent first. Callers of the methods hold the lock.
 */
final class WaitingCallers {

  private static final Logger LOG = LogManager.getLogger("waiting");

  /**
   * How often upstreams are offered to the waiting requests, in milliseconds: a wait of this length
   * costs no caller anything.
   */
  private static final int TICK_MILLIS = 25;

  /** One request may wait for a model even if the estimate finds no place for a whole one. */
  private static final double MIN_PLACES = 1;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The refusal of a request that has to wait behind others, for which the queue has no room. */
  static final Choice.Refuse BEHIND_OTHERS = new Choice.Refuse(Dispatcher.FULL, UpstreamGate.NOW);

  private final Settings.Waiting settings;
  private final Dispatcher dispatcher;
  private final Timers timers;
  private final GatewayMetrics metrics;
  private final WaitingQueue<CallerWait> queue;
  private final Map<CallerWait, Wait> waits = new HashMap<>();
  private boolean ticking;
  private boolean serving;
  private boolean stopped;

  /** How the wait of a request ended. */
  enum Outcome {
    /** An upstream was chosen. */
    SERVED,
    /** No upstream was found in time. */
    EXPIRED,
    /** It was refused earlier. */
    REFUSED,
    /** Its caller disconnected. */
    LEFT
  }

  private record Wait(String model, String reason, long sinceNanos, long untilNanos) {}

  WaitingCallers(
      Settings.Waiting settings, Dispatcher dispatcher, Timers timers, GatewayMetrics metrics) {
    this.settings = settings;
    this.dispatcher = dispatcher;
    this.timers = timers;
    this.metrics = metrics;
    this.queue = new WaitingQueue<>(settings.requests());
    metrics.registerWaiting(queue);
  }

  /**
   * Offers upstreams to the requests that wait for the same model, and tells whether a new one has
   * to wait behind them.
   *
   * @return true if others wait still
   */
  boolean isAnyBefore(DispatchRequest demand) {
    String model = modelOf(demand);
    serve(model);
    return queue.first(model) != null;
  }

  /**
   * Lets a request wait, if it will probably find an upstream.
   *
   * @param urgency 0, the most urgent, to 9
   * @param refusal why no upstream was chosen
   * @return false if it has to be refused now
   */
  boolean offer(CallerWait caller, CallerRequest request, int urgency, Choice.Refuse refusal) {
    long now = System.nanoTime();
    long nanos =
        Math.min(
            settings.millis() * NANOS_PER_MILLI - caller.waitedNanos(),
            (request.deadlineNanos() - now) / 2);
    if (stopped || nanos <= 0 || outlasts(refusal, nanos)) {
      return false;
    }
    String model = modelOf(request.demand());
    double places = Math.max(MIN_PLACES, dispatcher.endingRequests(request.demand(), nanos));
    Waiting<CallerWait> waiting =
        new Waiting<>(caller, model, urgency, request.deadlineNanos(), now + nanos);
    if (!queue.offer(waiting, places)) {
      return false;
    }
    waits.put(caller, new Wait(model, refusal.reason(), now, now + nanos));
    LOG.info(
        "request={} model={} urgency={} waiting={} places={} outcome=waits",
        request.id(),
        model,
        urgency,
        queue.size(),
        String.format(Locale.ROOT, "%.1f", places));
    refuseEnded();
    scheduleTick();
    return true;
  }

  private static boolean outlasts(Choice.Refuse refusal, long nanos) {
    return Dispatcher.EVACUATED.equals(refusal.reason())
        || refusal.retryAfterNanos() > Math.max(0, nanos);
  }

  /** Tells whether the reason of a refusal lasts longer than the rest of a request's wait. */
  boolean outlastsWait(CallerWait caller, Choice.Refuse refusal) {
    Wait wait = waits.get(caller);
    return wait == null || outlasts(refusal, wait.untilNanos() - System.nanoTime());
  }

  /** Offers upstreams to requests that wait for the model of one that has ended. */
  void requestEnded(DispatchRequest demand) {
    String model = modelOf(demand);
    if (queue.first(model) != null) {
      timers.after(0, () -> serve(model));
    }
  }

  /** Ends the wait of a request; without effect if it does not wait. */
  void end(CallerWait caller, Outcome outcome) {
    Wait wait = waits.remove(caller);
    if (wait == null) {
      return;
    }
    queue.remove(caller);
    long waitedNanos = System.nanoTime() - wait.sinceNanos();
    String outcomeName = outcome.name().toLowerCase(Locale.ROOT);
    metrics.waitingEnded(outcomeName, waitedNanos);
    caller.ended(waitedNanos);
    LOG.info(
        "request={} model={} waited={} outcome={}",
        caller.requestId(),
        wait.model(),
        waitedNanos / NANOS_PER_MILLI,
        outcomeName);
  }

  /** Refuses all waiting requests and lets none wait any more, because the daemon stops. */
  void stop() {
    stopped = true;
    for (CallerWait caller : List.copyOf(waits.keySet())) {
      end(caller, Outcome.REFUSED);
      caller.refuse(Gateway.STOPPING);
    }
  }

  private static String modelOf(DispatchRequest demand) {
    return demand.service() + "/" + demand.model();
  }

  private void scheduleTick() {
    if (!ticking) {
      ticking = true;
      timers.after(TICK_MILLIS, this::tick);
    }
  }

  /** Schedules the next tick first, so that an error in this one leaves no request in the queue. */
  private void tick() {
    ticking = false;
    if (queue.size() == 0) {
      return;
    }
    scheduleTick();
    try {
      queue.models().forEach(this::serve);
    } finally {
      refuseEnded();
    }
  }

  /**
   * Offers an upstream to one request after the other, until none is found; to each of them once,
   * since a request that is held back on its way may wait again.
   */
  private void serve(String model) {
    if (serving) {
      return;
    }
    serving = true;
    try {
      CallerWait first = queue.first(model);
      for (int left = queue.size(); left > 0 && first != null && first.tryToSend(this); left--) {
        first = queue.first(model);
      }
    } finally {
      serving = false;
    }
  }

  private void refuseEnded() {
    long now = System.nanoTime();
    for (CallerWait caller : queue.expire(now)) {
      Wait wait = waits.get(caller);
      if (wait != null) {
        boolean over = now - wait.untilNanos() >= 0;
        end(caller, over ? Outcome.EXPIRED : Outcome.REFUSED);
        caller.refuse(wait.reason());
      }
    }
  }
}
