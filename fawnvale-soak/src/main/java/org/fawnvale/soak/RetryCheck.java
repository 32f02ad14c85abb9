package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** Checks that the retries of all daemons, over all their lives, keep ratio and slack. */
final class RetryCheck {

  private static final long WINDOW_NANOS =
      TimeUnit.SECONDS.toNanos(EdgeDaemon.RETRY_WINDOW_SECONDS);

  private RetryCheck() {}

  /**
   * How near the retries of the worst window came to what is allowed.
   *
   * @param sent retries of that window
   * @param allowed by ratio and slack
   */
  record Nearness(int sent, double allowed) {

    private double share() {
      return sent / allowed;
    }
  }

  /** Returns the window of either service that came nearest to its bound. */
  static Nearness nearest(RunHistory history) {
    List<Nearness> all = new ArrayList<>(windows(history, true));
    all.addAll(windows(history, false));
    return all.stream()
        .max(Comparator.comparingDouble(Nearness::share))
        .orElse(new Nearness(0, EdgeDaemon.RETRY_SLACK));
  }

  /** In any window, a service gets no more retries than ratio and slack allow. */
  static Verdict withinBudget(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    judge(history, true, verdict);
    judge(history, false, verdict);
    return verdict.build();
  }

  private static void judge(RunHistory history, boolean plain, Verdict.Builder verdict) {
    for (Nearness window : windows(history, plain)) {
      verdict.countCase();
      if (window.sent() > window.allowed()) {
        verdict.addBreach(
            window.sent()
                + " retries to the "
                + (plain ? "plain" : "group")
                + " workers, allowed "
                + window.allowed());
        return;
      }
    }
  }

  /** Returns the windows that begin with each retry to a service. */
  private static List<Nearness> windows(RunHistory history, boolean plain) {
    List<Long> requests = new ArrayList<>();
    for (Event.Sent event : history.all(Event.Sent.class)) {
      if (plain == (event.kind() != RequestKind.STREAM)) {
        requests.add(event.atNanos());
      }
    }
    List<Long> retries = retries(history, worker -> plain == worker.startsWith("p"));
    return retries.stream()
        .map(
            from ->
                new Nearness(
                    within(retries, from),
                    EdgeDaemon.RETRY_RATIO * countedRequests(requests, from)
                        + EdgeDaemon.RETRY_SLACK))
        .toList();
  }

  /** Returns when requests reached workers that they, or others, had reached before. */
  private static List<Long> retries(RunHistory history, Predicate<String> ofService) {
    Set<String> seen = new HashSet<>();
    List<Long> retries = new ArrayList<>();
    for (Event.Arrived event : history.all(Event.Arrived.class)) {
      if (ofService.test(event.worker()) && !seen.add(event.attempt())) {
        retries.add(event.atNanos());
      }
    }
    return retries;
  }

  /** The requests of the window, the one before, or half a window before: whichever has most. */
  private static int countedRequests(List<Long> requests, long from) {
    return Math.max(
        within(requests, from),
        Math.max(within(requests, from - WINDOW_NANOS), within(requests, from - WINDOW_NANOS / 2)));
  }

  private static int within(List<Long> times, long from) {
    return (int) times.stream().filter(at -> at >= from && at < from + WINDOW_NANOS).count();
  }
}
