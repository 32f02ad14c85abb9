package org.fawnvale.serving.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * The advertised limits that this daemon knows, from the responses of nodes and from the updates of
 * other daemons.
 *
 * <p>Each change of a limit increments its version, and each request carries the version that was
 * known when it was sent. A response to a request that was sent at the newest version replaces the
 * limit. Any other response may be older than the known limit: it can lower the limit, but can
 * neither raise nor end it.
 *
 * <p>Not thread-safe.
 */
public final class KnownLimits {

  /** The version of an incarnation of which nothing is known. */
  public static final int UNKNOWN_VERSION = 0;

  /**
   * The number of consecutive responses without a limit after which a known limit ends. If one
   * response were enough, a node whose overload pauses for a moment would receive all waiting
   * requests at once.
   */
  private static final int RESPONSES_TO_END = 2;

  private static final int MAX_ENTRIES = 16_384;

  /** How long a limit is kept after the last response that confirmed it. */
  private static final long ENTRY_TTL_NANOS = 600_000_000_000L;

  /** Time between two scans for expired entries. */
  private static final long EVICTION_INTERVAL_NANOS = 10_000_000_000L;

  /**
   * How long a change counts as recent. Messages are sent every 150 ms; in large fleets each one
   * goes to some of the daemons only.
   */
  private static final long RECENT_NANOS = 2_000_000_000L;

  /** Changed limits in one message: 32 entries of about 30 bytes keep it below 2 KB. */
  private static final int MAX_CHANGED_SENT = 32;

  /** Unchanged limits in one message, from which daemons that have just started learn them. */
  private static final int MAX_UNCHANGED_SENT = 8;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<NodeIncarnation, Entry> entries = new LinkedHashMap<>();
  private int activeCount;
  private int rotation;
  private boolean urgent;
  private long evictedNanos;

  /** The effect of a response or an update on the known limits. */
  public enum Change {
    /** Nothing changed. */
    NONE,
    /** A node without a known limit now has one. */
    NAMED,
    /** The value of a limit changed. */
    CHANGED,
    /** A limit ended. */
    ENDED
  }

  private static final class Entry {
    double perSecond = LimitUpdate.UNLIMITED;
    int version = UNKNOWN_VERSION;
    int unlimitedResponses;
    long confirmedNanos;
    long changedNanos;
    boolean observedHere;

    boolean isUnlimited() {
      return perSecond == LimitUpdate.UNLIMITED;
    }
  }

  /**
   * Returns the limit of a node.
   *
   * @return requests per second; {@link LimitUpdate#UNLIMITED} when no limit is known
   */
  public double perSecond(NodeIncarnation incarnation) {
    if (activeCount == 0) {
      return LimitUpdate.UNLIMITED;
    }
    Entry entry = entries.get(incarnation);
    return entry == null ? LimitUpdate.UNLIMITED : entry.perSecond;
  }

  /**
   * Returns the version of the newest known change, which is kept with each request to the node.
   *
   * @return the version; {@link #UNKNOWN_VERSION} when nothing is known
   */
  public int version(NodeIncarnation incarnation) {
    Entry entry = entries.get(incarnation);
    return entry == null ? UNKNOWN_VERSION : entry.version;
  }

  /** Returns the number of limits in force. */
  public int activeCount() {
    return activeCount;
  }

  /**
   * Applies a response of a node.
   *
   * @param advertised the limit in the response; null when it has none
   * @param sentVersion the version that was known when the request was sent
   * @param mayEnd whether the response would contain a limit if the node had one
   * @param nowNanos the monotonic time
   */
  public Change recordResponse(
      NodeIncarnation incarnation,
      @Nullable AdvertisedLimit advertised,
      int sentVersion,
      boolean mayEnd,
      long nowNanos) {
    Entry entry = entries.get(incarnation);
    boolean isNewest = entry == null || sentVersion >= entry.version;
    if (advertised == null) {
      return entry == null || entry.isUnlimited() || !mayEnd || !isNewest
          ? Change.NONE
          : recordUnlimitedResponse(incarnation, entry, nowNanos);
    }
    if (entry == null) {
      return change(incarnation, advertised.perSecond(), UNKNOWN_VERSION + 1, true, nowNanos);
    }
    entry.unlimitedResponses = 0;
    entry.confirmedNanos = nowNanos;
    boolean replaces = isNewest || advertised.perSecond() < entry.perSecond;
    return advertised.perSecond() != entry.perSecond && replaces
        ? change(incarnation, advertised.perSecond(), entry.version + 1, true, nowNanos)
        : Change.NONE;
  }

  private Change recordUnlimitedResponse(NodeIncarnation incarnation, Entry entry, long nowNanos) {
    entry.unlimitedResponses++;
    return entry.unlimitedResponses < RESPONSES_TO_END
        ? Change.NONE
        : change(incarnation, LimitUpdate.UNLIMITED, entry.version + 1, true, nowNanos);
  }

  private Change change(
      NodeIncarnation incarnation, double perSecond, int version, boolean observed, long nowNanos) {
    Entry entry = entries.computeIfAbsent(incarnation, any -> new Entry());
    boolean wasLimited = !entry.isUnlimited();
    urgent |= observed && perSecond < entry.perSecond;
    entry.perSecond = perSecond;
    entry.version = version;
    entry.unlimitedResponses = 0;
    entry.changedNanos = nowNanos;
    entry.confirmedNanos = nowNanos;
    entry.observedHere = observed;
    boolean isLimited = !entry.isUnlimited();
    activeCount += (isLimited ? 1 : 0) - (wasLimited ? 1 : 0);
    evict(nowNanos);
    if (wasLimited) {
      return isLimited ? Change.CHANGED : Change.ENDED;
    }
    return isLimited ? Change.NAMED : Change.NONE;
  }

  /**
   * Merges an update of another daemon. A higher version replaces a lower one. Of two concurrent
   * changes, which have the same version, the lower limit wins.
   *
   * @param nowNanos the monotonic time
   */
  public Change merge(LimitUpdate update, long nowNanos) {
    long confirmedAtNanos = nowNanos - update.ageMillis() * NANOS_PER_MILLI;
    if (nowNanos - confirmedAtNanos > ENTRY_TTL_NANOS) {
      return Change.NONE;
    }
    Entry entry = entries.get(update.incarnation());
    int knownVersion = entry == null ? UNKNOWN_VERSION : entry.version;
    double knownPerSecond = entry == null ? LimitUpdate.UNLIMITED : entry.perSecond;
    boolean isStricter = update.version() == knownVersion && update.perSecond() < knownPerSecond;
    if (update.version() <= knownVersion && !isStricter) {
      if (entry != null
          && update.version() == knownVersion
          && confirmedAtNanos - entry.confirmedNanos > 0) {
        entry.confirmedNanos = confirmedAtNanos;
      }
      return Change.NONE;
    }
    Change change =
        change(update.incarnation(), update.perSecond(), update.version(), false, nowNanos);
    Entry changed = entries.get(update.incarnation());
    if (changed != null) {
      changed.confirmedNanos = confirmedAtNanos;
    }
    return change;
  }

  /** Removes expired entries from time to time, and the oldest entry when there are too many. */
  private void evict(long nowNanos) {
    if (nowNanos - evictedNanos > EVICTION_INTERVAL_NANOS) {
      evictedNanos = nowNanos;
      entries.values().removeIf(entry -> isExpired(entry, nowNanos));
    }
    if (entries.size() > MAX_ENTRIES) {
      Entry oldest = entries.remove(entries.keySet().iterator().next());
      activeCount -= oldest.isUnlimited() ? 0 : 1;
    }
  }

  private boolean isExpired(Entry entry, long nowNanos) {
    boolean expired = nowNanos - entry.confirmedNanos > ENTRY_TTL_NANOS;
    activeCount -= expired && !entry.isUnlimited() ? 1 : 0;
    return expired;
  }

  /**
   * Tells whether a response has added or lowered a limit since the last call. Other daemons must
   * receive such a change at once; raised and ended limits can wait for the next regular message.
   */
  public boolean takeUrgent() {
    boolean wasUrgent = urgent;
    urgent = false;
    return wasUrgent;
  }

  /**
   * Returns the limits for the next message to other daemons: recent changes, and in rotation some
   * of the unchanged limits.
   *
   * @param asRelay whether to include changes that were received from other daemons
   * @param nowNanos the monotonic time
   */
  public List<LimitUpdate> updatesToSend(boolean asRelay, long nowNanos) {
    if (entries.isEmpty()) {
      return List.of();
    }
    rotation++;
    List<LimitUpdate> changed = new ArrayList<>();
    List<LimitUpdate> unchanged = new ArrayList<>();
    entries.forEach(
        (incarnation, entry) -> {
          boolean isRecent = nowNanos - entry.changedNanos < RECENT_NANOS;
          if (isRecent && (entry.observedHere || asRelay)) {
            changed.add(update(incarnation, entry, nowNanos));
          } else if (!entry.isUnlimited()) {
            unchanged.add(update(incarnation, entry, nowNanos));
          }
        });
    List<LimitUpdate> updates = new ArrayList<>(rotate(changed, MAX_CHANGED_SENT));
    updates.addAll(rotate(unchanged, MAX_UNCHANGED_SENT));
    return updates;
  }

  /**
   * Returns what is known of one incarnation, to be sent with a permit request to its owner.
   *
   * @param nowNanos the monotonic time
   * @return the update; null when nothing is known
   */
  public @Nullable LimitUpdate updateFor(NodeIncarnation incarnation, long nowNanos) {
    Entry entry = entries.get(incarnation);
    return entry == null ? null : update(incarnation, entry, nowNanos);
  }

  private static LimitUpdate update(NodeIncarnation incarnation, Entry entry, long nowNanos) {
    long age = Math.max(0, nowNanos - entry.confirmedNanos) / NANOS_PER_MILLI;
    return new LimitUpdate(incarnation, entry.version, entry.perSecond, age);
  }

  private Collection<LimitUpdate> rotate(List<LimitUpdate> updates, int limit) {
    if (updates.size() <= limit) {
      return updates;
    }
    List<LimitUpdate> selected = new ArrayList<>();
    for (int index = 0; index < limit; index++) {
      selected.add(updates.get(Math.floorMod(rotation * limit + index, updates.size())));
    }
    return selected;
  }
}
