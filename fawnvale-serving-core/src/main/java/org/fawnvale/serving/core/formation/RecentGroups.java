package org.fawnvale.serving.core.formation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Groups that were opened or dissolved a short while ago. */
public final class RecentGroups {

  /** How long at least: the list lags by less than a second, copies of it by another. */
  private static final long RETENTION_NANOS = 2_500_000_000L;

  /** How long while the list does not show it: outages of the store last ten seconds and more. */
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

  /** A group whose head has begun a new life does not serve, whatever was told before. */
  void headRestarted(String id) {
    opened.keySet().removeIf(key -> id.equals(key.head()));
  }

  /** Forgets what the list has come to show; while the store is away that may take long. */
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
   * Groups that began to serve.
   *
   * @return model by group
   */
  public Map<GroupKey, String> opened() {
    Map<GroupKey, String> models = new LinkedHashMap<>();
    opened.forEach((key, group) -> models.put(key, group.model()));
    return models;
  }

  /**
   * Groups that are being taken apart.
   *
   * @return their identities
   */
  public Set<GroupKey> closed() {
    return Set.copyOf(closed.keySet());
  }
}
