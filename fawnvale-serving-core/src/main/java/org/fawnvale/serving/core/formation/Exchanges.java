package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * The exchanges under way. A domain forms nothing until all groups that it exchanges are apart, or
 * else their first nodes would form what has just been taken apart.
 */
final class Exchanges {

  private static final long MILLI = 1_000_000L;

  /** Work ends within three seconds of the order to close; then members leave. */
  private static final long PATIENCE_NANOS = 4_000 * MILLI;

  /** A group that was formed anew is seen to serve, and demand is seen to follow, in about this. */
  private static final long REST_NANOS = 1_500 * MILLI;

  private final Map<String, Running> running = new HashMap<>();
  private long endedNanos = Long.MIN_VALUE / 2;

  private record Running(List<GroupKey> victims, List<Integer> packing, long untilNanos) {}

  void begin(String domain, ExchangePolicy.Plan plan, long now) {
    List<GroupKey> victims = plan.victims().stream().map(ObservedGroup::key).toList();
    running.put(domain, new Running(victims, plan.packing(), now + PATIENCE_NANOS));
  }

  /** Ends exchanges whose groups are apart, or can't be taken apart soon. */
  void settle(Predicate<GroupKey> isFree, Predicate<GroupKey> isStuck, long now) {
    for (String domain : List.copyOf(running.keySet())) {
      Running exchange = running.get(domain);
      boolean over =
          now > exchange.untilNanos()
              || exchange.victims().stream().allMatch(isFree)
              || exchange.victims().stream().anyMatch(isStuck);
      if (over) {
        running.remove(domain);
        endedNanos = now;
      }
    }
  }

  Set<String> domains() {
    return running.keySet();
  }

  /** Tells whether groups may be exchanged that nothing was lost of. */
  boolean rests(long now) {
    return !running.isEmpty() || now - endedNanos < REST_NANOS;
  }

  /** Counts the groups to come as if they stood. */
  void addTo(Map<String, Integer> standing, List<ModelSpec> models) {
    for (Running exchange : new ArrayList<>(running.values())) {
      for (int index = 0; index < models.size(); index++) {
        standing.merge(models.get(index).name(), exchange.packing().get(index), Integer::sum);
      }
    }
  }
}
