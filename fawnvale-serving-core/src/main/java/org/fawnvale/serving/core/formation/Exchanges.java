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
  private static final long TIMEOUT_NANOS = 4_000 * MILLI;

  /** A group that was formed anew is seen to serve, and demand is seen to follow, in about this. */
  private static final long COOLDOWN_NANOS = 1_500 * MILLI;

  private final Map<String, Exchange> inProgress = new HashMap<>();
  private long lastEndNanos = Long.MIN_VALUE / 2;

  private record Exchange(List<GroupKey> victims, List<Integer> packing, long untilNanos) {}

  void begin(String domain, ExchangePolicy.Plan plan, long now) {
    List<GroupKey> victims = plan.victims().stream().map(ObservedGroup::key).toList();
    inProgress.put(domain, new Exchange(victims, plan.packing(), now + TIMEOUT_NANOS));
  }

  /** Ends exchanges whose groups are apart, or can't be taken apart soon. */
  void removeFinished(
      Predicate<GroupKey> isFree, Predicate<GroupKey> isHeadUnresponsive, long now) {
    for (String domain : List.copyOf(inProgress.keySet())) {
      Exchange exchange = inProgress.get(domain);
      boolean finished =
          now > exchange.untilNanos()
              || exchange.victims().stream().allMatch(isFree)
              || exchange.victims().stream().anyMatch(isHeadUnresponsive);
      if (finished) {
        inProgress.remove(domain);
        lastEndNanos = now;
      }
    }
  }

  Set<String> domains() {
    return inProgress.keySet();
  }

  /** Tells whether groups may be exchanged that nothing was lost of. */
  boolean isCoolingDown(long now) {
    return !inProgress.isEmpty() || now - lastEndNanos < COOLDOWN_NANOS;
  }

  /** Counts the groups to come as if they stood. */
  void addTo(Map<String, Integer> groupCounts, List<ModelSpec> models) {
    for (Exchange exchange : new ArrayList<>(inProgress.values())) {
      for (int index = 0; index < models.size(); index++) {
        groupCounts.merge(models.get(index).name(), exchange.packing().get(index), Integer::sum);
      }
    }
  }
}
