package org.fawnvale.serving.core.formation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Groups that were opened or dissolved a short while ago. */
public final class RecentGroups {

  private static final long KEEP_NANOS = 2_500_000_000L;

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

  void forget(long nowNanos) {
    opened.values().removeIf(group -> nowNanos - group.atNanos() > KEEP_NANOS);
    closed.values().removeIf(at -> nowNanos - at > KEEP_NANOS);
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
