package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fawnvale.standins.WorkerCuts;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Cuts daemons off from all workers, and checks that their callers are served nearly as often as
 * those of the other daemons.
 */
final class WorkerCutCheck {

  /** How long a daemon may take to find another way for its callers. */
  private static final long CONTACT_NANOS = 3_000_000_000L;

  private static final long MIN_MILLIS = 5_000;

  /** Least share of requests served, against the daemons that reach workers. */
  private static final double LEAST_SHARE = 2.0 / 3;

  private static final int FAILURES_ALLOWED = 10;
  private static final int REQUESTS_PER_FURTHER_FAILURE = 50;

  private WorkerCutCheck() {}

  /** A time within which a daemon was cut off. */
  private record Span(int daemon, long beginNanos, long endNanos) {

    boolean covers(long atNanos) {
      return atNanos >= beginNanos && atNanos < endNanos;
    }
  }

  /**
   * Cuts off some daemons, or all of one data centre but the last daemon. That one is never cut
   * off, so that there is always a daemon to compare with, also where cuts overlap.
   */
  static String cut(FaultContext context, Random random) {
    List<EdgeDaemon> cut = new ArrayList<>(context.daemons());
    cut.remove(cut.size() - 1);
    boolean wholeDataCentre = random.nextBoolean();
    int dataCentre = random.nextInt(2);
    int share = 1 + random.nextInt(3);
    cut.removeIf(
        daemon ->
            wholeDataCentre && daemon.number() % 2 != dataCentre
                || !wholeDataCentre && random.nextInt(3) >= share);
    WorkerCuts.Cut[] manners = WorkerCuts.Cut.values();
    WorkerCuts.Cut manner = manners[random.nextInt(manners.length)];
    long millis = MIN_MILLIS + random.nextInt((int) (Faults.MAX_DURATION_MILLIS - MIN_MILLIS));
    for (EdgeDaemon daemon : cut) {
      long pid = daemon.pid();
      context.platform().cuts().begin(pid, manner);
      context.recorder().workersCut(daemon.number(), true);
      context.schedule(
          millis,
          () -> {
            context.recorder().workersCut(daemon.number(), false);
            context.platform().cuts().end(pid);
          });
    }
    return manner + " of " + cut.stream().map(EdgeDaemon::number).toList() + " for " + millis;
  }

  /** Compares first attempts at daemons that are cut off with those at the others. */
  static Verdict othersServe(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Span> spans = spans(history);
    Set<String> served = served(history);
    for (Span span : spans) {
      judge(span, history, spans, served, verdict);
    }
    return verdict.build();
  }

  private static void judge(
      Span span,
      RunHistory history,
      List<Span> spans,
      Set<String> served,
      Verdict.Builder verdict) {
    ServedShare cut = new ServedShare();
    ServedShare others = new ServedShare();
    for (Event.Sent request : history.all(Event.Sent.class)) {
      long at = request.atNanos();
      boolean isCut = request.daemon() == span.daemon();
      boolean isOther =
          spans.stream().noneMatch(any -> any.daemon() == request.daemon() && any.covers(at));
      if ((isCut || isOther) && isCompared(request, span, history, spans)) {
        ServedShare share = isCut ? cut : others;
        share.count(served.contains(request.attempt()));
        verdict.countCase();
      }
    }
    if (cut.sent() == 0 || others.sent() == 0) {
      return;
    }
    int allowed = FAILURES_ALLOWED + (cut.sent() + others.sent()) / REQUESTS_PER_FURTHER_FAILURE;
    if (cut.share() < LEAST_SHARE * others.share() && cut.failed() > allowed) {
      verdict.addBreach(
          String.format(
              "daemon %d, cut off from %d ms on, served %s, the others %s",
              span.daemon(), span.beginNanos() / 1_000_000, cut, others));
    }
  }

  private static boolean isCompared(
      Event.Sent request, Span span, RunHistory history, List<Span> spans) {
    long at = request.atNanos();
    return Callers.isOrdinary(request.attempt())
        && at >= span.beginNanos() + CONTACT_NANOS
        && at < span.endNanos()
        && anyReachesWorkers(history, spans, at)
        && !history.wasSignalled(request.daemon(), at - CONTACT_NANOS, at);
  }

  /** Tells whether a daemon has long enough reached workers to serve the callers of others. */
  private static boolean anyReachesWorkers(RunHistory history, List<Span> spans, long atNanos) {
    long since = atNanos - CONTACT_NANOS;
    return history.all(Event.Sent.class).stream()
        .mapToInt(Event.Sent::daemon)
        .distinct()
        .filter(daemon -> !history.wasSignalled(daemon, since, atNanos))
        .anyMatch(
            daemon ->
                spans.stream()
                    .noneMatch(
                        span ->
                            span.daemon() == daemon
                                && span.beginNanos() <= atNanos
                                && span.endNanos() >= since));
  }

  private static Set<String> served(RunHistory history) {
    Set<String> served = new HashSet<>();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      if (answered.answer().isSuccess()) {
        served.add(answered.attempt());
      }
    }
    return served;
  }

  /** Returns the cuts; of several that overlap, the first end ends them all. */
  private static List<Span> spans(RunHistory history) {
    List<Span> spans = new ArrayList<>();
    Map<Integer, Long> begun = new HashMap<>();
    for (Event.WorkersCut event : history.all(Event.WorkersCut.class)) {
      if (event.begins()) {
        begun.putIfAbsent(event.daemon(), event.atNanos());
      } else if (begun.containsKey(event.daemon())) {
        spans.add(new Span(event.daemon(), begun.remove(event.daemon()), event.atNanos()));
      }
    }
    return spans;
  }
}
