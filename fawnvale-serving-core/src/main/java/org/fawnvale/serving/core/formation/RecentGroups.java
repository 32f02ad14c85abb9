package org.fawnvale.serving.core.formation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Groups that were opened or dissolved recently. */
public final class RecentGroups {

  /**
   * Retention once the list shows the change. The list and copies of it lag by up to a second each.
   */
  private static final long RETENTION_NANOS = 2_500_000_000L;

  /** Retention while the list doesn't show the change, as during an outage of the store. */
  private static final long UNLISTED_RETENTION_NANOS = 20_000_000_000L;

  private final Map<GroupKey, Opened> opened = new LinkedHashMap<>();
  private final Map<GroupKey, Long> closed = new LinkedHashMap<>();

  private record Opened(String model, long atNanos) {}

  void opened(GroupKey key, String model, long nowNanos) {
    opened.putIfAbsent(key, new Opened(model, nowNanos));
  }

  void closed(GroupKey key, long nowNanos) {
    opened.remove(key);
    closed.put(key, nowNanos);
  }

  /** Removes the opened groups of a head that restarted. */
  void headRestarted(String id) {
    opened.keySet().removeIf(key -> id.equals(key.head()));
  }

  /** Removes expired groups. Groups whose change the list doesn't show yet are kept for longer. */
  void removeExpired(Set<GroupKey> listed, long nowNanos) {
    opened
        .entrySet()
        .removeIf(
            group ->
                isExpired(group.getValue().atNanos(), listed.contains(group.getKey()), nowNanos));
    closed
        .entrySet()
        .removeIf(group -> isExpired(group.getValue(), !listed.contains(group.getKey()), nowNanos));
  }

  private static boolean isExpired(long atNanos, boolean listed, long nowNanos) {
    return nowNanos - atNanos > (listed ? RETENTION_NANOS : UNLISTED_RETENTION_NANOS);
  }

  /**
   * Returns the groups that began to serve.
   *
   * @return model by group
   */
  public Map<GroupKey, String> opened() {
    Map<GroupKey, String> models = new LinkedHashMap<>();
    opened.forEach((key, group) -> models.put(key, group.model()));
    return models;
  }

  /**
   * Returns the groups whose dissolution began.
   *
   * @return their identities
   */
  public Set<GroupKey> closed() {
    return Set.copyOf(closed.keySet());
  }
}
