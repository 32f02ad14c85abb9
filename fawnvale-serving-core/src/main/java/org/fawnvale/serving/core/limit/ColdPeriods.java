package org.fawnvale.serving.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.ServiceSpec;

/**
 * Until when each upstream is cold, by this daemon's monotonic clock. A cold upstream accepts only
 * the requests per second that {@link ServiceSpec.ColdStart} states, from all daemons together.
 * Each source can extend a period and none can shorten it, so that a late message can't expose a
 * cold upstream to the full load. Upstreams of services without a cold start are never cold.
 *
 * <p>Not thread-safe.
 */
public final class ColdPeriods {

  /** Exceeds the 10,000 nodes that the system is designed for. */
  private static final int MAX_PERIODS = 16_384;

  private static final int MAX_DATA_CENTRES = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<NodeIncarnation, Period> periods = new LinkedHashMap<>();
  private final Map<NodeIncarnation, Integer> listedMillis = new HashMap<>();
  private final Map<String, Long> assumedSinceNanos = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private Map<String, ServiceSpec.ColdStart> coldStarts = Map.of();

  private record Period(String service, long endNanos) {}

  /** Where a daemon learned that an upstream is cold. */
  public enum Source {
    /** The entry of the node. */
    ENTRY,
    /** A response of the node. */
    ANSWER,
    /** A permit request of another daemon. */
    PEER,
    /** The return of the node's evacuated data centre. */
    EVACUATION
  }

  /** A change of an upstream's temperature. */
  public sealed interface Change {
    /** Returns the upstream. */
    NodeIncarnation incarnation();
  }

  /**
   * An upstream turned cold.
   *
   * @param remainingMillis how much longer it is cold, in milliseconds
   * @param perSecond the requests per second that it accepts from all daemons together
   */
  public record TurnedCold(
      NodeIncarnation incarnation, Source source, long remainingMillis, double perSecond)
      implements Change {}

  /** An upstream turned warm. */
  public record TurnedWarm(NodeIncarnation incarnation) implements Change {}

  /**
   * Applies the list of nodes and the configuration. The remaining time of an entry counts from the
   * moment at which it is first seen; an entry that is listed again unchanged extends nothing.
   *
   * @param listed all listed nodes, whether they serve or not
   * @param services the services of the configuration, by name
   * @param nowNanos the monotonic time
   */
  public void update(Collection<Node> listed, Map<String, ServiceSpec> services, long nowNanos) {
    coldStarts = coldStarts(services);
    if (coldStarts.isEmpty()) {
      listedMillis.clear();
      return;
    }
    Set<NodeIncarnation> present = new HashSet<>();
    for (Node node : listed) {
      present.add(node.life());
      recordEntry(node, nowNanos);
      Long since = assumedSinceNanos.get(node.dataCentre());
      if (since != null) {
        assume(node, since, nowNanos);
      }
    }
    listedMillis.keySet().retainAll(present);
  }

  private static Map<String, ServiceSpec.ColdStart> coldStarts(Map<String, ServiceSpec> services) {
    Map<String, ServiceSpec.ColdStart> starts = new HashMap<>();
    for (ServiceSpec service : services.values()) {
      ServiceSpec.ColdStart start = service.coldStart();
      if (start != null) {
        starts.put(service.name(), start);
      }
    }
    return starts;
  }

  private void recordEntry(Node node, long nowNanos) {
    if (!coldStarts.containsKey(node.service())) {
      return;
    }
    int remaining = node.coldRemainingMillis();
    if (remaining == 0) {
      listedMillis.remove(node.life());
      return;
    }
    Integer before = listedMillis.put(node.life(), remaining);
    if (before == null || before != remaining) {
      extend(node.life(), node.service(), remaining, Source.ENTRY, nowNanos);
    }
  }

  private void assume(Node node, long sinceNanos, long nowNanos) {
    ServiceSpec.ColdStart start = coldStarts.get(node.service());
    if (start != null) {
      long passed = (nowNanos - sinceNanos) / NANOS_PER_MILLI;
      extend(
          node.life(),
          node.service(),
          start.durationMillis() - passed,
          Source.EVACUATION,
          nowNanos);
    }
  }

  /**
   * Takes all upstreams of a data centre for cold, for {@link
   * ServiceSpec.ColdStart#durationMillis()} from now. To be called when the evacuation of the data
   * centre was taken back. It applies at once to the given nodes, and to nodes that are listed
   * later.
   *
   * @param listed the listed nodes of all data centres; may be empty
   * @param nowNanos the monotonic time at which this daemon learned of the return
   */
  public void assumeCold(String dataCentre, Collection<Node> listed, long nowNanos) {
    assumedSinceNanos.put(dataCentre, nowNanos);
    if (assumedSinceNanos.size() > MAX_DATA_CENTRES) {
      assumedSinceNanos.remove(assumedSinceNanos.keySet().iterator().next());
    }
    for (Node node : listed) {
      if (node.dataCentre().equals(dataCentre)) {
        assume(node, nowNanos, nowNanos);
      }
    }
  }

  /**
   * Extends the cold period of an upstream, unless it is known to last longer.
   *
   * @param service the service of the upstream
   * @param remainingMillis how much longer it is cold, in milliseconds; 0 or less changes nothing
   * @param nowNanos the monotonic time
   */
  public void extend(
      NodeIncarnation incarnation,
      String service,
      long remainingMillis,
      Source source,
      long nowNanos) {
    ServiceSpec.ColdStart start = coldStarts.get(service);
    if (remainingMillis <= 0 || start == null) {
      return;
    }
    long endNanos = nowNanos + Math.min(remainingMillis, Integer.MAX_VALUE) * NANOS_PER_MILLI;
    Period before = periods.get(incarnation);
    if (before != null && before.endNanos() - endNanos >= 0) {
      return;
    }
    periods.put(incarnation, new Period(service, endNanos));
    if (before == null) {
      record(new TurnedCold(incarnation, source, remainingMillis, start.perSecond()));
      evict();
    }
  }

  private void evict() {
    if (periods.size() > MAX_PERIODS) {
      NodeIncarnation oldest = periods.keySet().iterator().next();
      periods.remove(oldest);
      record(new TurnedWarm(oldest));
    }
  }

  private void record(Change change) {
    if (changes.size() < MAX_PERIODS) {
      changes.add(change);
    }
  }

  /**
   * Returns the limit of a cold upstream.
   *
   * @param nowNanos the monotonic time
   * @return requests per second from all daemons together; {@link LimitUpdate#UNLIMITED} when the
   *     upstream is warm
   */
  public double perSecond(NodeIncarnation incarnation, long nowNanos) {
    Period period = periods.isEmpty() ? null : periods.get(incarnation);
    if (period == null || period.endNanos() - nowNanos <= 0) {
      return LimitUpdate.UNLIMITED;
    }
    ServiceSpec.ColdStart start = coldStarts.get(period.service());
    return start == null ? LimitUpdate.UNLIMITED : start.perSecond();
  }

  /**
   * Tells whether an upstream is cold.
   *
   * @param nowNanos the monotonic time
   */
  public boolean isCold(NodeIncarnation incarnation, long nowNanos) {
    return perSecond(incarnation, nowNanos) != LimitUpdate.UNLIMITED;
  }

  /**
   * Returns how much longer an upstream is cold.
   *
   * @param nowNanos the monotonic time
   * @return milliseconds, rounded up; 0 when it is warm
   */
  public long remainingMillis(NodeIncarnation incarnation, long nowNanos) {
    Period period = isCold(incarnation, nowNanos) ? periods.get(incarnation) : null;
    return period == null
        ? 0
        : (period.endNanos() - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
  }

  /**
   * Returns the number of cold upstreams.
   *
   * @param nowNanos the monotonic time
   */
  public long coldCount(long nowNanos) {
    return periods.keySet().stream().filter(upstream -> isCold(upstream, nowNanos)).count();
  }

  /**
   * Removes the periods that have ended.
   *
   * @param nowNanos the monotonic time
   * @return the upstreams that turned cold or warm since the last call, in this order
   */
  public List<Change> takeChanges(long nowNanos) {
    if (periods.isEmpty() && changes.isEmpty() && assumedSinceNanos.isEmpty()) {
      return List.of();
    }
    periods
        .entrySet()
        .removeIf(
            entry -> {
              boolean ended = entry.getValue().endNanos() - nowNanos <= 0;
              if (ended) {
                record(new TurnedWarm(entry.getKey()));
              }
              return ended;
            });
    long longestMillis =
        coldStarts.values().stream()
            .mapToLong(ServiceSpec.ColdStart::durationMillis)
            .max()
            .orElse(Integer.MAX_VALUE);
    assumedSinceNanos
        .values()
        .removeIf(since -> nowNanos - since > longestMillis * NANOS_PER_MILLI);
    List<Change> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }
}
