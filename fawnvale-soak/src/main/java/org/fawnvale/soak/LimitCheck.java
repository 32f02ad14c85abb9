package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Checks that the daemons which know a worker's advertised limit together send it, in any window of
 * four seconds, at most one and a half times the requests that the limit allows, plus five.
 */
final class LimitCheck {

  private static final long SECOND = 1_000_000_000L;
  private static final long WINDOW_NANOS = 4 * SECOND;

  /** Time within which all daemons must respect a new or changed limit. */
  private static final long PROPAGATION_NANOS = 3 * SECOND;

  /** Time from the first response with a limit until the daemon counts as knowing the limit. */
  private static final long PROCESSING_NANOS = SECOND / 2;

  private static final double TOLERANCE_FACTOR = 1.5;
  private static final int TOLERANCE_REQUESTS = 5;

  /** The limit that daemons assume when they cannot parse the advertised one. */
  private static final double DEFAULT_PER_SECOND = 1;

  private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,20})?");

  /** A period in which a worker's responses advertise the same limit. */
  private static final class LimitPeriod {
    final String worker;
    final long fromNanos;
    final double perSecond;
    final Map<Integer, Long> knownNanos = new HashMap<>();
    long lastNanos;

    LimitPeriod(String worker, long fromNanos, double perSecond) {
      this.worker = worker;
      this.fromNanos = fromNanos;
      this.perSecond = perSecond;
      this.lastNanos = fromNanos;
    }

    int allowed() {
      double seconds = WINDOW_NANOS / (double) SECOND;
      return (int) (TOLERANCE_FACTOR * perSecond * seconds) + TOLERANCE_REQUESTS;
    }
  }

  private LimitCheck() {}

  static Verdict respected(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = history.sent();
    List<Event.Arrived> arrivals = history.all(Event.Arrived.class);
    for (LimitPeriod period : periods(history, sent)) {
      checkWindows(history, period, arrivalsToCount(period, arrivals, sent), verdict);
    }
    return verdict.build();
  }

  private static double parse(String limit) {
    return DECIMAL.matcher(limit).matches() ? Double.parseDouble(limit) : DEFAULT_PER_SECOND;
  }

  /** A different limit, a withdrawn limit or a restart of the worker ends a period. */
  private static List<LimitPeriod> periods(RunHistory history, Map<String, Event.Sent> sent) {
    List<LimitPeriod> all = new ArrayList<>();
    Map<String, LimitPeriod> open = new HashMap<>();
    for (Event event : history.events()) {
      if (event instanceof Event.Started started) {
        open.remove(started.worker());
      } else if (event instanceof Event.NamedLimit named && named.isEnd()) {
        open.remove(named.worker());
      } else if (event instanceof Event.NamedLimit named) {
        LimitPeriod period = periodOf(named, open.get(named.worker()));
        if (open.put(named.worker(), period) != period) {
          all.add(period);
        }
        period.lastNanos = named.atNanos();
        Integer daemon = RunHistory.daemonOf(sent, named.attempt());
        if (daemon != null) {
          period.knownNanos.putIfAbsent(daemon, named.atNanos());
        }
      }
    }
    return all;
  }

  private static LimitPeriod periodOf(Event.NamedLimit named, @Nullable LimitPeriod open) {
    double perSecond = parse(named.limit());
    boolean same = open != null && open.perSecond == perSecond;
    return same && open != null
        ? open
        : new LimitPeriod(named.worker(), named.atNanos(), perSecond);
  }

  /** Selects the arrivals from daemons that know the limit, after the propagation time. */
  private static List<Event.Arrived> arrivalsToCount(
      LimitPeriod period, List<Event.Arrived> arrivals, Map<String, Event.Sent> sent) {
    List<Event.Arrived> counted = new ArrayList<>();
    for (Event.Arrived arrived : arrivals) {
      Integer daemon = RunHistory.daemonOf(sent, arrived.attempt());
      Long known = daemon == null ? null : period.knownNanos.get(daemon);
      boolean within =
          arrived.atNanos() >= period.fromNanos + PROPAGATION_NANOS
              && arrived.atNanos() <= period.lastNanos;
      if (arrived.worker().equals(period.worker)
          && within
          && known != null
          && arrived.atNanos() - known >= PROCESSING_NANOS) {
        counted.add(arrived);
      }
    }
    return counted;
  }

  private static void checkWindows(
      RunHistory history,
      LimitPeriod period,
      List<Event.Arrived> counted,
      Verdict.Builder verdict) {
    for (int first = 0; first < counted.size(); first++) {
      long from = counted.get(first).atNanos();
      int last = first;
      while (last + 1 < counted.size() && counted.get(last + 1).atNanos() - from < WINDOW_NANOS) {
        last++;
      }
      verdict.countCase();
      int count = last - first + 1;
      if (count > period.allowed() && !wasAnyDaemonSignalled(history, period, from)) {
        verdict.addBreach(
            period.worker + " names " + period.perSecond + " and got " + count + " in 4 s");
        return;
      }
    }
  }

  /**
   * Returns whether a daemon that knows the limit was stopped, frozen, resumed or started in or
   * shortly before the window; the limit may then be exceeded.
   */
  private static boolean wasAnyDaemonSignalled(
      RunHistory history, LimitPeriod period, long fromNanos) {
    return period.knownNanos.keySet().stream()
        .anyMatch(
            daemon ->
                history.wasSignalled(
                    daemon, fromNanos - PROPAGATION_NANOS, fromNanos + WINDOW_NANOS));
  }
}
