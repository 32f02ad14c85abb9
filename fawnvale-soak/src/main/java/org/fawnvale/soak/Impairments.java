package org.fawnvale.soak;

import java.util.List;

/**
 * The times in which workers failed, were removed, or refused or broke off requests.
 *
 * @param events the impairments of single workers
 */
record Impairments(List<Event.Impaired> events) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long the loss of a worker costs requests and groups after its end. */
  private static final long AFTERMATH_NANOS = 2_000 * NANOS_PER_MILLI;

  static Impairments of(RunHistory history) {
    return new Impairments(history.all(Event.Impaired.class));
  }

  /** Returns whether an interval overlaps an impairment of any worker, or its aftermath. */
  boolean overlap(long fromNanos, long untilNanos) {
    return events.stream()
        .anyMatch(
            event ->
                event.atNanos() <= untilNanos
                    && event.atNanos() + event.millis() * NANOS_PER_MILLI + AFTERMATH_NANOS
                        >= fromNanos);
  }
}
