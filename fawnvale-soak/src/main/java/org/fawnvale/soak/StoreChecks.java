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
  private static final long STEADY_NANOS = 3_000 * NANOS_PER_MILLI;

  private StoreChecks() {}

  /** Each healthy daemon applies a version within the bound after the store accepted it. */
  static Verdict inForce(Story story, long boundNanos) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.Configured> taken = story.all(Event.Configured.class);
    for (Event.Probed probe : story.all(Event.Probed.class)) {
      long since = lastTaken(taken, probe);
      if (since < 0 || probe.atNanos() < since + boundNanos || probe.status() == 0) {
        continue;
      }
      boolean excused =
          story.wasSignalled(probe.daemon(), probe.atNanos() - STEADY_NANOS, probe.endNanos())
              || isTroubled(story, probe.atNanos(), probe.endNanos());
      if (!excused) {
        verdict.tempted();
        if (probe.status() == MISSING) {
          verdict.breach("daemon " + probe.daemon() + " lacks version " + probe.version());
        }
      }
    }
    return verdict.build();
  }

  /** Returns when the store last accepted the probed version before the probe, or -1. */
  private static long lastTaken(List<Event.Configured> taken, Event.Probed probe) {
    return taken.stream()
        .filter(event -> event.version() == probe.version())
        .filter(event -> event.atNanos() <= probe.atNanos())
        .mapToLong(Event.Configured::atNanos)
        .max()
        .orElse(-1);
  }

  /** A daemon that served a version's route keeps serving it, even if the store is rolled back. */
  static Verdict neverBack(Story story) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.Probed> probes = story.all(Event.Probed.class);
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
        if (follows && !story.wasSignalled(later.daemon(), served.atNanos(), later.endNanos())) {
          verdict.tempted();
          if (later.status() == MISSING) {
            verdict.breach("daemon " + later.daemon() + " went back from " + later.version());
          }
        }
      }
    }
    return verdict.build();
  }

  /** After the bound, no new request reaches a worker that its store entry marks as leaving. */
  static Verdict leavingListed(Story story, long boundNanos) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Long> told = new HashMap<>();
    for (Event.LeavesListed event : story.all(Event.LeavesListed.class)) {
      told.putIfAbsent(event.worker(), event.atNanos());
    }
    Map<String, Event.Sent> sent = story.sent();
    for (Event.Arrived arrived : story.all(Event.Arrived.class)) {
      Long since = told.get(arrived.worker());
      Event.Sent request = sent.get(arrived.attempt());
      if (since == null || request == null || !isSameLife(story, arrived, since)) {
        continue;
      }
      verdict.tempted();
      boolean late = request.atNanos() > since + boundNanos;
      boolean excused =
          story.wasSignalled(request.daemon(), since - STEADY_NANOS, arrived.atNanos())
              || isTroubled(story, request.atNanos(), arrived.atNanos());
      if (late && !excused) {
        verdict.breach(arrived.attempt() + " reached " + arrived.worker() + ", listed as leaving");
      }
    }
    return verdict.build();
  }

  /** Returns false once the worker has restarted: a new incarnation is not leaving. */
  private static boolean isSameLife(Story story, Event.Arrived arrived, long sinceNanos) {
    return arrived.atNanos() < story.endOfLife(arrived.worker(), sinceNanos);
  }

  /** Returns whether a store fault was active within the interval or shortly before it. */
  private static boolean isTroubled(Story story, long fromNanos, long untilNanos) {
    int open = 0;
    long lastEnd = Long.MIN_VALUE / 2;
    for (Event.StoreTrouble event : story.all(Event.StoreTrouble.class)) {
      if (event.atNanos() > untilNanos) {
        break;
      }
      open += event.begins() ? 1 : -1;
      lastEnd = event.atNanos();
    }
    return open > 0 || lastEnd > fromNanos - STEADY_NANOS;
  }
}
