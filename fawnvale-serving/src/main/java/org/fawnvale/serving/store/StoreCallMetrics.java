package org.fawnvale.serving.store;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fawnvale.serving.spi.Platform;

/** Calls to the platform's store, each of which costs, by kind, reason and what came of it. */
public final class StoreCallMetrics {

  private final MeterRegistry registry;
  private final SortedMap<String, Integer> calls = new TreeMap<>();

  /** Why a call is made. */
  enum Reason {
    /** A page of a list. */
    LIST,
    /** To wait for changes. */
    WAIT,
    /** To learn what has changed, and whether the store answers again. */
    RETRY
  }

  /** What a call has brought. */
  enum Outcome {
    /** Objects or changes. */
    NEWS,
    /** An answer without any. */
    NOTHING,
    /** An answer that was given in another history of the store than the copy shows. */
    OTHER_ERA,
    /** No good answer. */
    FAILED
  }

  /**
   * Creates the figures.
   *
   * @param registry serves them as counters
   */
  public StoreCallMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  void count(Platform.Kind kind, Reason reason, Outcome outcome) {
    String[] tags = {lower(kind), lower(reason), lower(outcome)};
    calls.merge(String.join("_", tags), 1, Integer::sum);
    registry
        .counter("fawnvale.store.calls", "kind", tags[0], "reason", tags[1], "outcome", tags[2])
        .increment();
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  /**
   * All calls since the start, for a line of the log.
   *
   * @return {@code kind_reason_outcome=count} pairs
   */
  public String summary() {
    StringBuilder text = new StringBuilder();
    calls.forEach((what, count) -> text.append(what).append('=').append(count).append(' '));
    return text.toString().trim();
  }
}
