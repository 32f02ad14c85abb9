package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.UsersConfiguration;

/**
 * When workers take fewer requests than callers send, by their own word or the operator's: they
 * rest, name a limit, are cold, or their data centre is evacuated or has just returned.
 */
final class ReducedWorkers {

  /** How long after the return of a data centre a daemon may learn of it. */
  private static final long PROPAGATION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long COLD_NANOS = TimeUnit.SECONDS.toNanos(UsersConfiguration.COLD_SECONDS);

  /** A worker that no request has reached for this long does not count as serving. */
  private static final long SERVING_NANOS = TimeUnit.SECONDS.toNanos(9);

  private static final String PLAIN_PREFIX = "p";

  private final Map<String, NavigableSet<Long>> arrivals = new HashMap<>();
  private final Map<String, List<Span>> reduced = new HashMap<>();
  private final Map<String, Long> leavingSinceNanos = new HashMap<>();

  private record Span(long beginNanos, long endNanos) {

    boolean covers(long atNanos) {
      return atNanos >= beginNanos && atNanos < endNanos;
    }
  }

  ReducedWorkers(RunHistory history) {
    for (Event.Arrived arrived : history.all(Event.Arrived.class)) {
      arrivals.computeIfAbsent(arrived.worker(), worker -> new TreeSet<>()).add(arrived.atNanos());
    }
    for (Event.LeavesListed leaves : history.all(Event.LeavesListed.class)) {
      leavingSinceNanos.putIfAbsent(leaves.worker(), leaves.atNanos());
    }
    addRests(history);
    addLimits(history);
    addColdStarts(history);
    addEvacuations(history);
  }

  private void add(String worker, long beginNanos, long endNanos) {
    reduced.computeIfAbsent(worker, key -> new ArrayList<>()).add(new Span(beginNanos, endNanos));
  }

  private void addRests(RunHistory history) {
    for (Event.Asked asked : history.all(Event.Asked.class)) {
      long rest = TimeUnit.MILLISECONDS.toNanos(asked.restMillis());
      add(asked.worker(), asked.atNanos(), asked.atNanos() + rest);
    }
  }

  private void addLimits(RunHistory history) {
    Map<String, Long> namedSince = new HashMap<>();
    for (Event.NamedLimit event : history.all(Event.NamedLimit.class)) {
      if (!event.isEnd()) {
        namedSince.putIfAbsent(event.worker(), event.atNanos());
      } else if (namedSince.containsKey(event.worker())) {
        add(event.worker(), namedSince.remove(event.worker()), event.atNanos());
      }
    }
    namedSince.forEach((worker, since) -> add(worker, since, Long.MAX_VALUE));
  }

  private void addColdStarts(RunHistory history) {
    for (Event.ReturnedCold cold : history.all(Event.ReturnedCold.class)) {
      long duration = TimeUnit.MILLISECONDS.toNanos(cold.millis());
      add(cold.worker(), cold.atNanos(), cold.atNanos() + duration + PROPAGATION_NANOS);
    }
  }

  /** All workers of a data centre count as cold after its return. */
  private void addEvacuations(RunHistory history) {
    for (EvacuationCheck.Span evacuated : EvacuationCheck.spans(history)) {
      long end = evacuated.endNanos();
      long coldEnd = end == Long.MAX_VALUE ? end : end + COLD_NANOS + PROPAGATION_NANOS;
      arrivals.keySet().stream()
          .filter(worker -> Faults.zoneOf(worker).equals(evacuated.dataCentre()))
          .forEach(worker -> add(worker, evacuated.beginNanos(), coldEnd));
    }
  }

  /**
   * Tells whether each worker that serves a kind of requests takes fewer of them. Workers that are
   * listed as leaving do not count.
   *
   * @return false also if no worker serves the kind
   */
  boolean areAll(RequestKind kind, long atNanos) {
    Set<String> serving = new HashSet<>();
    arrivals.forEach(
        (worker, times) -> {
          if (serves(worker, kind) && isServing(worker, times, atNanos)) {
            serving.add(worker);
          }
        });
    return !serving.isEmpty() && serving.stream().allMatch(worker -> isReduced(worker, atNanos));
  }

  private static boolean serves(String worker, RequestKind kind) {
    return worker.startsWith(PLAIN_PREFIX) == (kind != RequestKind.STREAM);
  }

  private boolean isServing(String worker, NavigableSet<Long> times, long atNanos) {
    Long last = times.floor(atNanos);
    boolean leaves = leavingSinceNanos.getOrDefault(worker, Long.MAX_VALUE) <= atNanos;
    return !leaves && last != null && atNanos - last <= SERVING_NANOS;
  }

  private boolean isReduced(String worker, long atNanos) {
    return reduced.getOrDefault(worker, List.of()).stream().anyMatch(span -> span.covers(atNanos));
  }
}
