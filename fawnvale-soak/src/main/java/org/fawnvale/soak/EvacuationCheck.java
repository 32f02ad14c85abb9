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
  private record Span(String dataCentre, long beginNanos, long endNanos) {}

  /**
   * Judges the arrivals of callers' requests. A daemon that was stopped, frozen or started within
   * the bound and a recovery time before is excused, and all daemons are after a fault of the store
   * within that time.
   */
  static Verdict respected(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Span> spans = spans(history);
    Map<String, Event.Sent> sent = history.sent();
    for (Event.Arrived arrived : history.all(Event.Arrived.class)) {
      Event.Sent request = sent.get(arrived.attempt());
      Span span = spanOf(spans, arrived);
      if (request == null || span == null) {
        continue;
      }
      verdict.countCase();
      boolean late = arrived.atNanos() - span.beginNanos() > BOUND_NANOS;
      long healthySince = arrived.atNanos() - BOUND_NANOS;
      boolean excused =
          history.wasSignalled(
                  request.daemon(), healthySince - StoreChecks.RECOVERY_NANOS, arrived.atNanos())
              || StoreChecks.hadStoreFault(history, healthySince, arrived.atNanos());
      if (late && !excused) {
        verdict.addBreach(
            arrived.attempt() + " reached " + arrived.worker() + " in an evacuated data centre");
      }
    }
    return verdict.build();
  }

  /** Returns the evacuations; the removal of one of several overlapping ones ends them all. */
  private static List<Span> spans(RunHistory history) {
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

  private static Span spanOf(List<Span> spans, Event.Arrived arrived) {
    return spans.stream()
        .filter(span -> span.dataCentre().equals(Faults.zoneOf(arrived.worker())))
        .filter(span -> arrived.atNanos() > span.beginNanos())
        .filter(span -> arrived.atNanos() < span.endNanos())
        .findFirst()
        .orElse(null);
  }
}
