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
 * What is known of the limits that nodes name, by this daemon's answers and by what others tell.
 *
 * <p>An answer says what was true when it was made, which may be before what is known. So a request
 * notes the stamp that is known when it is sent: an answer to a request that was sent knowing the
 * newest change is newer than it, and replaces it; any other answer may make a limit stricter, but
 * neither raises nor ends it.
 */
public final class KnownLimits {

  /** The stamp of a life of which nothing is known. */
  public static final int UNKNOWN_VERSION = 0;

  /**
   * Answers without a limit, each to a request that was sent knowing of it, that end it. A node
   * whose need ends for a moment is not sent all that waits at once.
   */
  private static final int RESPONSES_TO_END = 2;

  /** Bounds what is kept of nodes that are gone, in entries. */
  private static final int MAX_ENTRIES = 16_384;

  /** How long a limit is believed that no answer has shown again. */
  private static final long ENTRY_TTL_NANOS = 600_000_000_000L;

  /** Pause between two looks for entries to forget, since each goes through all of them. */
  private static final long EVICTION_INTERVAL_NANOS = 10_000_000_000L;

  /** How long what is new is told: notes go out each 150 ms, in large fleets to some only. */
  private static final long RECENT_NANOS = 2_000_000_000L;

  /** Changes told in one note: 32 of some 30 bytes leave it below 2 KB. */
  private static final int MAX_CHANGED_SENT = 32;

  /** Limits in force that are told on in one note, so that daemons that start learn of them. */
  private static final int MAX_UNCHANGED_SENT = 8;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<NodeIncarnation, Entry> entries = new LinkedHashMap<>();
  private int activeCount;
  private int rotation;
  private boolean urgent;
  private long evictedNanos;

  /** What an answer or a note has brought. */
  public enum Change {
    /** Nothing that was not known. */
    NONE,
    /** A node of which no limit was known names one. */
    NAMED,
    /** A node names another limit than before. */
    CHANGED,
    /** A node names no limit any more. */
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
   * The limit of a node.
   *
   * @param life the node's life
   * @return requests a second; {@link LimitUpdate#UNLIMITED} when it has none
   */
  public double perSecond(NodeIncarnation life) {
    if (activeCount == 0) {
      return LimitUpdate.UNLIMITED;
    }
    Entry entry = entries.get(life);
    return entry == null ? LimitUpdate.UNLIMITED : entry.perSecond;
  }

  /**
   * The newest change that is known of a life, to be noted with a request that is sent there.
   *
   * @param life the node's life
   * @return its stamp; {@link #UNKNOWN_VERSION} when nothing is known
   */
  public int version(NodeIncarnation life) {
    Entry entry = entries.get(life);
    return entry == null ? UNKNOWN_VERSION : entry.version;
  }

  /**
   * Limits in force.
   *
   * @return their number
   */
  public int activeCount() {
    return activeCount;
  }

  /**
   * Takes in what an answer says.
   *
   * @param life the node's life
   * @param said the limit that it names; null when it names none
   * @param sentStamp the stamp that was known when the request was sent
   * @param mayEnd whether the answer would surely name a limit if there were one
   * @param nowNanos the steady time
   * @return what was new
   */
  public Change recordResponse(
      NodeIncarnation life,
      @Nullable AdvertisedLimit said,
      int sentStamp,
      boolean mayEnd,
      long nowNanos) {
    Entry entry = entries.get(life);
    boolean isNewest = entry == null || sentStamp >= entry.version;
    if (said == null) {
      return entry == null || entry.isUnlimited() || !mayEnd || !isNewest
          ? Change.NONE
          : recordUnlimitedResponse(life, entry, nowNanos);
    }
    if (entry == null) {
      return change(life, said.perSecond(), UNKNOWN_VERSION + 1, true, nowNanos);
    }
    entry.unlimitedResponses = 0;
    entry.confirmedNanos = nowNanos;
    boolean replaces = isNewest || said.perSecond() < entry.perSecond;
    return said.perSecond() != entry.perSecond && replaces
        ? change(life, said.perSecond(), entry.version + 1, true, nowNanos)
        : Change.NONE;
  }

  private Change recordUnlimitedResponse(NodeIncarnation life, Entry entry, long nowNanos) {
    entry.unlimitedResponses++;
    return entry.unlimitedResponses < RESPONSES_TO_END
        ? Change.NONE
        : change(life, LimitUpdate.UNLIMITED, entry.version + 1, true, nowNanos);
  }

  private Change change(
      NodeIncarnation life, double perSecond, int stamp, boolean own, long nowNanos) {
    Entry entry = entries.computeIfAbsent(life, any -> new Entry());
    boolean was = !entry.isUnlimited();
    urgent |= own && perSecond < entry.perSecond;
    entry.perSecond = perSecond;
    entry.version = stamp;
    entry.unlimitedResponses = 0;
    entry.changedNanos = nowNanos;
    entry.confirmedNanos = nowNanos;
    entry.observedHere = own;
    boolean is = !entry.isUnlimited();
    activeCount += (is ? 1 : 0) - (was ? 1 : 0);
    evict(nowNanos);
    if (was) {
      return is ? Change.CHANGED : Change.ENDED;
    }
    return is ? Change.NAMED : Change.NONE;
  }

  /**
   * Takes in what another daemon tells. Of two changes that were made without knowing of each other
   * the stricter one holds.
   *
   * @param told what it tells of one life
   * @param nowNanos the steady time
   * @return what was new
   */
  public Change merge(LimitUpdate told, long nowNanos) {
    long shownNanos = nowNanos - told.ageMillis() * NANOS_PER_MILLI;
    if (nowNanos - shownNanos > ENTRY_TTL_NANOS) {
      return Change.NONE;
    }
    Entry entry = entries.get(told.incarnation());
    int stamp = entry == null ? UNKNOWN_VERSION : entry.version;
    double known = entry == null ? LimitUpdate.UNLIMITED : entry.perSecond;
    boolean isStricter = told.version() == stamp && told.perSecond() < known;
    if (told.version() <= stamp && !isStricter) {
      if (entry != null && told.version() == stamp && shownNanos - entry.confirmedNanos > 0) {
        entry.confirmedNanos = shownNanos;
      }
      return Change.NONE;
    }
    Change change = change(told.incarnation(), told.perSecond(), told.version(), false, nowNanos);
    Entry changed = entries.get(told.incarnation());
    if (changed != null) {
      changed.confirmedNanos = shownNanos;
    }
    return change;
  }

  /** Entries that no answer has shown for long go, now and then; of too many the first one goes. */
  private void evict(long nowNanos) {
    if (nowNanos - evictedNanos > EVICTION_INTERVAL_NANOS) {
      evictedNanos = nowNanos;
      entries.values().removeIf(entry -> isExpired(entry, nowNanos));
    }
    if (entries.size() > MAX_ENTRIES) {
      Entry first = entries.remove(entries.keySet().iterator().next());
      activeCount -= first.isUnlimited() ? 0 : 1;
    }
  }

  private boolean isExpired(Entry entry, long nowNanos) {
    boolean old = nowNanos - entry.confirmedNanos > ENTRY_TTL_NANOS;
    activeCount -= old && !entry.isUnlimited() ? 1 : 0;
    return old;
  }

  /**
   * Tells whether an answer has brought what the other daemons should know at once: a limit, or a
   * lower one. What lets more through may wait for the next note.
   *
   * @return true when one has, since this was asked last
   */
  public boolean takeUrgent() {
    boolean had = urgent;
    urgent = false;
    return had;
  }

  /**
   * What to tell other daemons with the next note: changes, and some of the limits in force in
   * turn.
   *
   * @param forOthers whether changes that others have told are told on, as a relay does
   * @param nowNanos the steady time
   * @return a note for each of some lives
   */
  public List<LimitUpdate> updatesToSend(boolean forOthers, long nowNanos) {
    if (entries.isEmpty()) {
      return List.of();
    }
    rotation++;
    List<LimitUpdate> changed = new ArrayList<>();
    List<LimitUpdate> standing = new ArrayList<>();
    entries.forEach(
        (life, entry) -> {
          boolean isNew = nowNanos - entry.changedNanos < RECENT_NANOS;
          if (isNew && (entry.observedHere || forOthers)) {
            changed.add(update(life, entry, nowNanos));
          } else if (!entry.isUnlimited()) {
            standing.add(update(life, entry, nowNanos));
          }
        });
    List<LimitUpdate> told = new ArrayList<>(rotate(changed, MAX_CHANGED_SENT));
    told.addAll(rotate(standing, MAX_UNCHANGED_SENT));
    return told;
  }

  /**
   * What is known of one life, for a daemon that is asked for a part of its limit.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   * @return a note; null when nothing is known
   */
  public @Nullable LimitUpdate updateFor(NodeIncarnation life, long nowNanos) {
    Entry entry = entries.get(life);
    return entry == null ? null : update(life, entry, nowNanos);
  }

  private static LimitUpdate update(NodeIncarnation life, Entry entry, long nowNanos) {
    long age = Math.max(0, nowNanos - entry.confirmedNanos) / NANOS_PER_MILLI;
    return new LimitUpdate(life, entry.version, entry.perSecond, age);
  }

  private Collection<LimitUpdate> rotate(List<LimitUpdate> notes, int most) {
    if (notes.size() <= most) {
      return notes;
    }
    List<LimitUpdate> some = new ArrayList<>();
    for (int place = 0; place < most; place++) {
      some.add(notes.get(Math.floorMod(rotation * most + place, notes.size())));
    }
    return some;
  }
}
