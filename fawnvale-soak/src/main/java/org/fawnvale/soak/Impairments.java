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

  /** Two records of one trouble are written one after the other. */
  private static final long SAME_NANOS = 100 * NANOS_PER_MILLI;

  static Impairments of(RunHistory history) {
    return new Impairments(history.all(Event.Impaired.class));
  }

  /** The impairments other than full workers beside streams that stand still. */
  static Impairments withoutFull(RunHistory history) {
    List<Event.Full> full = history.all(Event.Full.class);
    return new Impairments(
        history.all(Event.Impaired.class).stream()
            .filter(event -> full.stream().noneMatch(other -> isSame(event, other)))
            .toList());
  }

  private static boolean isSame(Event.Impaired impaired, Event.Full full) {
    return impaired.worker().equals(full.worker())
        && impaired.millis() == full.millis()
        && Math.abs(impaired.atNanos() - full.atNanos()) < SAME_NANOS;
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
