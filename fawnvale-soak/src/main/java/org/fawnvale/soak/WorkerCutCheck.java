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

  /**
   * Compares requests at daemons that are cut off with those at the others. Requests are left out
   * while each worker that serves their kind takes fewer by its own word or the operator's: what
   * daemons refuse then says nothing about a cut.
   */
  static Verdict othersServe(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Comparison comparison = new Comparison(history);
    for (Span span : comparison.spans) {
      comparison.judge(span, verdict);
    }
    return verdict.build();
  }

  /** What the comparison of one run needs of its history. */
  private static final class Comparison {
    private final RunHistory history;
    private final List<Span> spans;
    private final Set<String> served;
    private final Set<Integer> daemons = new HashSet<>();
    private final ReducedWorkers reducedWorkers;

    Comparison(RunHistory history) {
      this.history = history;
      this.spans = spans(history);
      this.served = served(history);
      this.reducedWorkers = new ReducedWorkers(history);
      history.all(Event.Sent.class).forEach(request -> daemons.add(request.daemon()));
    }

    void judge(Span span, Verdict.Builder verdict) {
      ServedShare cut = new ServedShare();
      ServedShare others = new ServedShare();
      for (Event.Sent request : history.all(Event.Sent.class)) {
        boolean isCut = request.daemon() == span.daemon();
        if ((isCut || isNotCut(request)) && isCompared(request, span)) {
          ServedShare share = isCut ? cut : others;
          share.count(served.contains(request.attempt()));
          verdict.countCase();
        }
      }
      if (cut.sent() > 0 && others.sent() > 0 && isBreach(cut, others)) {
        verdict.addBreach(
            String.format(
                "daemon %d, cut off from %d ms on, served %s, the others %s",
                span.daemon(), span.beginNanos() / 1_000_000, cut, others));
      }
    }

    private static boolean isBreach(ServedShare cut, ServedShare others) {
      int sent = cut.sent() + others.sent();
      int allowed = FAILURES_ALLOWED + sent / REQUESTS_PER_FURTHER_FAILURE;
      return cut.share() < LEAST_SHARE * others.share() && cut.failed() > allowed;
    }

    private boolean isNotCut(Event.Sent request) {
      return spans.stream()
          .noneMatch(span -> span.daemon() == request.daemon() && span.covers(request.atNanos()));
    }

    private boolean isCompared(Event.Sent request, Span span) {
      long at = request.atNanos();
      return at >= span.beginNanos() + CONTACT_NANOS
          && at < span.endNanos()
          && Callers.isOrdinary(request.attempt())
          && !reducedWorkers.areAll(request.kind(), at)
          && !history.wasSignalled(request.daemon(), at - CONTACT_NANOS, at)
          && anyReachesWorkers(at);
    }

    /** Tells whether a daemon has long enough reached workers to serve the callers of others. */
    private boolean anyReachesWorkers(long atNanos) {
      long since = atNanos - CONTACT_NANOS;
      return daemons.stream()
          .filter(daemon -> !history.wasSignalled(daemon, since, atNanos))
          .anyMatch(daemon -> wasNeverCut(daemon, since, atNanos));
    }

    private boolean wasNeverCut(int daemon, long fromNanos, long untilNanos) {
      return spans.stream()
          .noneMatch(
              span ->
                  span.daemon() == daemon
                      && span.beginNanos() <= untilNanos
                      && span.endNanos() >= fromNanos);
    }
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
