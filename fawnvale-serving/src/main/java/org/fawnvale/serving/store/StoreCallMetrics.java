package org.fawnvale.serving.store;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fawnvale.serving.spi.Platform;

/** Counts the calls to the platform's store by object kind, reason and outcome. */
public final class StoreCallMetrics {

  private final MeterRegistry registry;
  private final SortedMap<String, Integer> calls = new TreeMap<>();

  /** The reason of a call; a metric tag. */
  enum Reason {
    /** Reads one page of a list. */
    LIST,
    /** Waits for changes (long poll). */
    WAIT,
    /** Reads the changes after a failure, to find out whether the store answers again. */
    RETRY
  }

  /** The outcome of a call; a metric tag. */
  enum Outcome {
    /** An answer with objects or changes. */
    NEWS,
    /** An answer without changes. */
    NOTHING,
    /** An answer from another era of the store than that of the copy. */
    OTHER_ERA,
    /** No answer, or an answer with an error status. */
    FAILED
  }

  /**
   * Creates the metrics.
   *
   * @param registry receives the counters
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
   * Summarises all calls since the start of the daemon in one log line.
   *
   * @return {@code kind_reason_outcome=count} pairs
   */
  public String summary() {
    StringBuilder text = new StringBuilder();
    calls.forEach((call, count) -> text.append(call).append('=').append(count).append(' '));
    return text.toString().trim();
  }
}
