package org.fawnvale.soak;

import java.util.List;

/**
 * The times in which sound workers stood still.
 *
 * @param events the silences of single workers, in order of their beginnings
 */
record Silences(List<Event.Silent> events) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  static Silences of(RunHistory history) {
    return new Silences(history.all(Event.Silent.class));
  }

  private static long endNanos(Event.Silent silence) {
    return silence.atNanos() + silence.millis() * NANOS_PER_MILLI;
  }

  /** Returns whether an interval overlaps a silence or the given time behind it. */
  boolean overlap(long fromNanos, long untilNanos, long afterNanos) {
    return events.stream()
        .anyMatch(
            silence ->
                silence.atNanos() <= untilNanos && endNanos(silence) + afterNanos >= fromNanos);
  }

  /** Returns for how much of an interval a worker did not stand still, in nanoseconds. */
  long workingNanos(String worker, long fromNanos, long untilNanos) {
    long working = 0;
    long from = fromNanos;
    for (Event.Silent silence : events) {
      if (silence.worker().equals(worker)) {
        working += Math.max(0, Math.min(silence.atNanos(), untilNanos) - from);
        from = Math.max(from, endNanos(silence));
      }
    }
    return working + Math.max(0, untilNanos - from);
  }
}
