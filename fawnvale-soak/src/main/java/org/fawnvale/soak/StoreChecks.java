package org.fawnvale.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that daemons follow the store: active configurations and workers marked as leaving. */
final class StoreChecks {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MISSING = 404;
  private static final int OK = 200;

  /** How long daemon and store must be free of faults before the time bounds apply again. */
  static final long RECOVERY_NANOS = 3_000 * NANOS_PER_MILLI;

  private StoreChecks() {}

  /** Each healthy daemon applies a version within the bound after the store accepted it. */
  static Verdict applied(RunHistory history, long boundNanos) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.Configured> accepted = history.all(Event.Configured.class);
    for (Event.Probed probe : history.all(Event.Probed.class)) {
      long since = lastAccepted(accepted, probe);
      if (since < 0 || probe.atNanos() < since + boundNanos || probe.status() == 0) {
        continue;
      }
      boolean excused =
          history.wasSignalled(probe.daemon(), probe.atNanos() - RECOVERY_NANOS, probe.endNanos())
              || hadStoreFault(history, probe.atNanos(), probe.endNanos());
      if (!excused) {
        verdict.countCase();
        if (probe.status() == MISSING) {
          verdict.addBreach("daemon " + probe.daemon() + " lacks version " + probe.version());
        }
      }
    }
    return verdict.build();
  }

  /** Returns when the store last accepted the probed version before the probe, or -1. */
  private static long lastAccepted(List<Event.Configured> accepted, Event.Probed probe) {
    return accepted.stream()
        .filter(event -> event.version() == probe.version())
        .filter(event -> event.atNanos() <= probe.atNanos())
        .mapToLong(Event.Configured::atNanos)
        .max()
        .orElse(-1);
  }

  /** A daemon that served a version's route keeps serving it, even if the store is rolled back. */
  static Verdict neverRolledBack(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.Probed> probes = history.all(Event.Probed.class);
    for (Event.Probed served : probes) {
      if (served.status() != OK) {
        continue;
      }
      for (Event.Probed later : probes) {
        boolean follows =
            later.daemon() == served.daemon()
                && later.version() == served.version()
                && later.atNanos() > served.endNanos()
                && later.status() != 0;
        if (follows && !history.wasSignalled(later.daemon(), served.atNanos(), later.endNanos())) {
          verdict.countCase();
          if (later.status() == MISSING) {
            verdict.addBreach("daemon " + later.daemon() + " went back from " + later.version());
          }
        }
      }
    }
    return verdict.build();
  }

  /** After the bound, no new request reaches a worker that its store entry marks as leaving. */
  static Verdict leavingListed(RunHistory history, long boundNanos) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Long> reported = new HashMap<>();
    for (Event.LeavesListed event : history.all(Event.LeavesListed.class)) {
      reported.putIfAbsent(event.worker(), event.atNanos());
    }
    Map<String, Event.Sent> sent = history.sent();
    for (Event.Arrived arrived : history.all(Event.Arrived.class)) {
      Long since = reported.get(arrived.worker());
      Event.Sent request = sent.get(arrived.attempt());
      if (since == null || request == null || !isSameIncarnation(history, arrived, since)) {
        continue;
      }
      verdict.countCase();
      boolean late = request.atNanos() > since + boundNanos;
      boolean excused =
          history.wasSignalled(request.daemon(), since - RECOVERY_NANOS, arrived.atNanos())
              || hadStoreFault(history, request.atNanos(), arrived.atNanos());
      if (late && !excused) {
        verdict.addBreach(
            arrived.attempt() + " reached " + arrived.worker() + ", listed as leaving");
      }
    }
    return verdict.build();
  }

  /** Returns false once the worker has restarted: a new incarnation is not leaving. */
  private static boolean isSameIncarnation(
      RunHistory history, Event.Arrived arrived, long sinceNanos) {
    return arrived.atNanos() < history.nextRestartNanos(arrived.worker(), sinceNanos);
  }

  /** Returns whether a store fault was active within the interval or shortly before it. */
  static boolean hadStoreFault(RunHistory history, long fromNanos, long untilNanos) {
    int open = 0;
    long lastEnd = Long.MIN_VALUE / 2;
    for (Event.StoreTrouble event : history.all(Event.StoreTrouble.class)) {
      if (event.atNanos() > untilNanos) {
        break;
      }
      open += event.begins() ? 1 : -1;
      lastEnd = event.atNanos();
    }
    return open > 0 || lastEnd > fromNanos - RECOVERY_NANOS;
  }
}
