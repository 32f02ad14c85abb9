package org.fawnvale.soak;

import java.util.List;
import org.fawnvale.standins.UsersConfiguration;

/**
 * Checks that a cold worker receives from all daemons together, in any second, at most one and a
 * half times the requests that it bears, plus five. A restart ends the cold time of a worker unless
 * the worker comes back cold again.
 */
final class ColdCheck {

  private static final long SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time within which all daemons must have read that a worker came back cold. */
  private static final long PROPAGATION_NANOS = SECOND;

  /** A daemon that was frozen or the store that was away may know older entries for this long. */
  private static final long EXCUSED_NANOS = 3 * SECOND;

  private static final int ALLOWED = (int) (1.5 * UsersConfiguration.COLD_PER_SECOND) + 5;

  private ColdCheck() {}

  static Verdict respected(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.Arrived> arrivals = history.all(Event.Arrived.class);
    for (Event.ReturnedCold cold : history.all(Event.ReturnedCold.class)) {
      long from = cold.atNanos() + PROPAGATION_NANOS;
      long end = cold.atNanos() + cold.millis() * NANOS_PER_MILLI;
      long until = Math.min(end, history.nextRestartNanos(cold.worker(), cold.atNanos()));
      List<Long> counted =
          arrivals.stream()
              .filter(arrived -> arrived.worker().equals(cold.worker()))
              .map(Event.Arrived::atNanos)
              .filter(at -> at >= from && at < until)
              .toList();
      checkWindows(history, cold, counted, verdict);
    }
    return verdict.build();
  }

  private static void checkWindows(
      RunHistory history, Event.ReturnedCold cold, List<Long> counted, Verdict.Builder verdict) {
    int first = 0;
    for (int last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) >= SECOND) {
        first++;
      }
      verdict.countCase();
      int count = last - first + 1;
      if (count > ALLOWED && !isExcused(history, cold.atNanos(), counted.get(last))) {
        verdict.addBreach(cold.worker() + " is cold and got " + count + " in 1 s");
        return;
      }
    }
  }

  /**
   * Returns whether a daemon was resumed or started shortly before, or the store was away since the
   * worker came back; a daemon may then not know its entry yet.
   */
  private static boolean isExcused(RunHistory history, long returnedNanos, long atNanos) {
    boolean signalled =
        history.all(Event.Signalled.class).stream()
            .anyMatch(
                event -> event.atNanos() > atNanos - EXCUSED_NANOS && event.atNanos() <= atNanos);
    boolean storeWasAway =
        history.all(Event.StoreTrouble.class).stream()
            .anyMatch(
                event ->
                    event.atNanos() > returnedNanos - Faults.MAX_DURATION_MILLIS * NANOS_PER_MILLI
                        && event.atNanos() <= atNanos);
    return signalled || storeWasAway;
  }
}
