package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * The exchanges in progress. A domain forms no groups until all groups that it exchanges are
 * dissolved; otherwise the nodes that are free first would form the same groups again.
 */
final class Exchanges {

  private static final long MILLI = 1_000_000L;

  /** A closing head finishes its requests within three seconds; then the members leave. */
  private static final long TIMEOUT_NANOS = 4_000 * MILLI;

  /**
   * A new group is listed as serving, and the observed demand reflects it, within about this time.
   */
  private static final long COOLDOWN_NANOS = 1_500 * MILLI;

  private final Map<String, Exchange> inProgress = new HashMap<>();
  private long lastEndNanos = Long.MIN_VALUE / 2;

  private record Exchange(List<GroupKey> victims, List<Integer> packing, long untilNanos) {}

  void begin(String domain, ExchangePolicy.Plan plan, long now) {
    List<GroupKey> victims = plan.victims().stream().map(ObservedGroup::key).toList();
    inProgress.put(domain, new Exchange(victims, plan.packing(), now + TIMEOUT_NANOS));
  }

  /** Removes exchanges whose groups are dissolved or can't be dissolved soon. */
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

  /** Tells whether an exchange is in progress or ended recently. */
  boolean isCoolingDown(long now) {
    return !inProgress.isEmpty() || now - lastEndNanos < COOLDOWN_NANOS;
  }

  /** Adds the groups that the exchanges will form to the counts. */
  void addTo(Map<String, Integer> groupCounts, List<ModelSpec> models) {
    for (Exchange exchange : new ArrayList<>(inProgress.values())) {
      for (int index = 0; index < models.size(); index++) {
        groupCounts.merge(models.get(index).name(), exchange.packing().get(index), Integer::sum);
      }
    }
  }
}
