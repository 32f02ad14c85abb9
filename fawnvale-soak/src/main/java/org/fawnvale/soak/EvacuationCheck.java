package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that no request reaches the workers of an evacuated data centre after the bound. */
final class EvacuationCheck {

  /** The time between the acknowledgement of the store and the last request, as promised. */
  static final long BOUND_NANOS = 5_000_000_000L;

  private EvacuationCheck() {}

  /** A time within which a data centre was evacuated. */
  record Span(String dataCentre, long beginNanos, long endNanos) {

    /** Tells whether requests must not reach the data centre any more. */
    boolean binds(long atNanos) {
      return atNanos - beginNanos > BOUND_NANOS && atNanos < endNanos;
    }
  }

  /**
   * Counts the requests that were sent to a daemon while a data centre was evacuated for longer
   * than the bound; breaches are those that reached a worker there. A daemon that was stopped,
   * frozen or started within the bound and a recovery time before is excused, and all daemons are
   * after a fault of the store within that time.
   */
  static Verdict respected(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Span> spans = spans(history);
    for (Event.Sent request : history.all(Event.Sent.class)) {
      boolean bound = spans.stream().anyMatch(span -> span.binds(request.atNanos()));
      if (bound && !isExcused(history, request.daemon(), request.atNanos())) {
        verdict.countCase();
      }
    }
    Map<String, Event.Sent> sent = history.sent();
    for (Event.Arrived arrived : history.all(Event.Arrived.class)) {
      Event.Sent request = sent.get(arrived.attempt());
      String dataCentre = Faults.zoneOf(arrived.worker());
      boolean late =
          spans.stream()
              .filter(span -> span.dataCentre().equals(dataCentre))
              .anyMatch(span -> span.binds(arrived.atNanos()));
      if (late && request != null && !isExcused(history, request.daemon(), arrived.atNanos())) {
        verdict.addBreach(
            arrived.attempt() + " reached " + arrived.worker() + " in an evacuated data centre");
      }
    }
    return verdict.build();
  }

  private static boolean isExcused(RunHistory history, int daemon, long atNanos) {
    long since = atNanos - BOUND_NANOS;
    return history.wasSignalled(daemon, since - StoreChecks.RECOVERY_NANOS, atNanos)
        || StoreChecks.hadStoreFault(history, since, atNanos);
  }

  /** Returns the evacuations; the removal of one of several overlapping ones ends them all. */
  static List<Span> spans(RunHistory history) {
    List<Span> spans = new ArrayList<>();
    Map<String, Long> begun = new HashMap<>();
    for (Event.Evacuated event : history.all(Event.Evacuated.class)) {
      if (event.begins()) {
        begun.putIfAbsent(event.dataCentre(), event.atNanos());
      } else if (begun.containsKey(event.dataCentre())) {
        spans.add(new Span(event.dataCentre(), begun.remove(event.dataCentre()), event.atNanos()));
      }
    }
    begun.forEach((name, since) -> spans.add(new Span(name, since, Long.MAX_VALUE)));
    return spans;
  }
}
