package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.UsersConfiguration;

/**
 * The times in which each data centre is evacuated or cold. All daemons refuse many requests then,
 * since cold workers take few.
 */
final class ColdTimes {

  /** The data centres of the workers. */
  private static final List<String> DATA_CENTRES = List.of("a", "b");

  /** How long after the return of a data centre a daemon may learn of it. */
  private static final long PROPAGATION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long COLD_NANOS = TimeUnit.SECONDS.toNanos(UsersConfiguration.COLD_SECONDS);

  private final List<Span> spans = new ArrayList<>();

  /** A time in which a data centre takes no or few requests. */
  private record Span(String dataCentre, long beginNanos, long endNanos) {}

  ColdTimes(RunHistory history) {
    for (EvacuationCheck.Span evacuated : EvacuationCheck.spans(history)) {
      long end = evacuated.endNanos();
      long coldEnd = end == Long.MAX_VALUE ? end : end + COLD_NANOS + PROPAGATION_NANOS;
      spans.add(new Span(evacuated.dataCentre(), evacuated.beginNanos(), coldEnd));
    }
    for (Event.ReturnedCold cold : history.all(Event.ReturnedCold.class)) {
      long end = cold.atNanos() + TimeUnit.MILLISECONDS.toNanos(cold.millis()) + PROPAGATION_NANOS;
      spans.add(new Span(Faults.zoneOf(cold.worker()), cold.atNanos(), end));
    }
  }

  /** Tells whether no data centre has warm workers that take requests. */
  boolean coverAllDataCentres(long atNanos) {
    return DATA_CENTRES.stream().allMatch(dataCentre -> covers(dataCentre, atNanos));
  }

  private boolean covers(String dataCentre, long atNanos) {
    return spans.stream()
        .anyMatch(
            span ->
                span.dataCentre().equals(dataCentre)
                    && atNanos >= span.beginNanos()
                    && atNanos < span.endNanos());
  }
}
