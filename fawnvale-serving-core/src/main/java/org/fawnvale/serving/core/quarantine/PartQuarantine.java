package org.fawnvale.serving.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the prompt parts of requests under which nodes crashed, as observed by all daemons.
 * Requests with a part that is blamed for the crashes are sent to no node, whatever else they hold.
 * {@link Quarantine} does the same for requests that are repeated as they are; where no two
 * requests are alike, it let 35 nodes crash on one part.
 *
 * <p>Not thread-safe.
 */
public final class PartQuarantine {

  /** Crashes from which on a part that has never been answered is blamed. */
  public static final int MIN_CRASHES = PartBlame.MIN_CRASHES;

  /** Upper bound of the records: at most 1 MB. */
  private static final int MAX_RECORDS = 1_024;

  /** Records of barred parts in one message: all of them as a rule, so that new daemons know. */
  private static final int MAX_BARRED_SENT = 6;

  /** Recent records in one message: with those of barred parts below 6 KB, of 16 in all. */
  private static final int MAX_RECENT_SENT = 8;

  /** How long a change counts as recent; see {@link Quarantine}. */
  private static final long RECENT_NANOS = 2_000_000_000L;

  /** How long a record is kept after its part was last seen. */
  private static final long RECORD_TTL_NANOS = 1_800_000_000_000L;

  /**
   * Delays from the last crash, or the last trial, to the next trial: one request with the part is
   * sent to a node. The first one comes soon, since sound parts may be barred with a faulty one;
   * each failed one makes the fault more certain.
   */
  private static final long[] TRIAL_DELAY_NANOS = {
    3_000_000_000L, 30_000_000_000L, 1_800_000_000_000L
  };

  /**
   * Trials from which on one without a result is not repeated soon. A node may reject a trial or
   * never answer it; without another one soon, a sound part would be barred for the long delay. At
   * most this many requests with a faulty part are sent before the longest delay.
   */
  private static final int MAX_SOON = 3;

  /** Within this time, a request with a faulty part has crashed its node, on a busy one, too. */
  private static final long TRIAL_NANOS = 1_000_000_000L;

  /**
   * Crashes that another part has to itself where it accounts for one: with that one as many as bar
   * it. Parts of the same request as the tried one have most of theirs in common with it.
   */
  private static final int MIN_CRASHES_ELSEWHERE = PartBlame.MIN_CRASHES - 1;

  /**
   * How much longer a trial is left to other requests where its own holds another part that may
   * crash nodes, because it did or has never been answered here: a crash would not tell which of
   * them was the cause, and a sound part would be barred for the next, longer delay.
   */
  private static final long UNKNOWN_PART_DELAY_NANOS = 1_500_000_000L;

  /**
   * The same where the request holds another barred part. Where nothing that follows a sound part
   * was answered before, requests with the faulty one would take its trials otherwise.
   */
  private static final long BARRED_PARTS_DELAY_NANOS = 3_000_000_000L;

  private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
  private final AnsweredParts answered = new AnsweredParts();
  private Set<Fingerprint> barred = Set.of();
  private int rotation;
  private boolean urgent;

  private static final class Entry {
    PartRecord record;

    /** When each crash became known here, which was after it. */
    final Map<NodeIncarnation, Long> knownNanos = new HashMap<>();

    long crashedNanos;
    long trialNanos;
    long changedNanos;
    long usedNanos;
    boolean observedHere;

    Entry(Fingerprint part) {
      record = PartRecord.unsuspected(part);
    }

    void markBarred() {
      record = record.asBarred();
    }

    /** Returns the crashes that became known later than a time. */
    Set<NodeIncarnation> crashesKnownAfter(long nanos) {
      Set<NodeIncarnation> after = new HashSet<>();
      for (NodeIncarnation crash : record.crashes()) {
        if (knownNanos.getOrDefault(crash, nanos) - nanos > 0) {
          after.add(crash);
        }
      }
      return after;
    }

    void updateKnown(long nowNanos) {
      knownNanos.keySet().retainAll(record.crashes());
      record.crashes().forEach(crash -> knownNanos.putIfAbsent(crash, nowNanos));
    }
  }

  /**
   * The parts whose state a change has changed.
   *
   * @param barred the parts that are barred from now on
   * @param freed the parts that are no longer barred
   */
  public record Changes(Set<Fingerprint> barred, Set<Fingerprint> freed) {}

  /** Tells whether no part is suspected. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns the barred parts among those of a request.
   *
   * @param parts the parts of its prompt that other requests may share
   * @param nowNanos the monotonic time
   */
  public List<Fingerprint> barredAmong(List<Fingerprint> parts, long nowNanos) {
    if (barred.isEmpty()) {
      return List.of();
    }
    List<Fingerprint> found = new ArrayList<>();
    for (Fingerprint part : parts) {
      Entry entry = barred.contains(part) ? entries.get(part) : null;
      if (entry != null) {
        entry.usedNanos = nowNanos;
        found.add(part);
      }
    }
    return found;
  }

  /** Returns the number of crashes that count against a part. */
  public int crashCount(Fingerprint part) {
    Entry entry = entries.get(part);
    return entry == null ? 0 : entry.record.crashCount();
  }

  /**
   * Records that a node crashed as it began to answer a request.
   *
   * @param parts the parts of the request's prompt that other requests may share
   * @param nowNanos the monotonic time
   */
  public Changes recordCrash(Collection<Fingerprint> parts, NodeIncarnation node, long nowNanos) {
    for (Fingerprint part : parts) {
      Entry entry = entryOf(part);
      update(entry, entry.record.withCrash(node), true, nowNanos);
      urgent = true;
    }
    return refresh();
  }

  /**
   * Records that a node has answered a request, or has been answering it for a while. A faulty part
   * crashes each node that begins to answer it, so the crashes that became known before the answer
   * began had another cause; they no longer count against its parts. Later ones still do: a part
   * may become faulty.
   *
   * @param parts the parts of the request's prompt that other requests may share
   * @param begunNanos when the answer began, on the monotonic clock
   * @param nowNanos the monotonic time
   */
  public Changes recordAnswer(Collection<Fingerprint> parts, long begunNanos, long nowNanos) {
    boolean changed = false;
    for (Fingerprint part : parts) {
      answered.add(part);
      Entry entry = entries.get(part);
      Set<NodeIncarnation> left = entry == null ? Set.of() : entry.crashesKnownAfter(begunNanos);
      if (entry != null && left.size() < entry.record.crashCount()) {
        urgent |= barred.contains(part);
        update(entry, entry.record.clearedTo(left), true, nowNanos);
        changed = true;
      }
    }
    return changed ? refresh() : new Changes(Set.of(), Set.of());
  }

  /**
   * Joins the records of another daemon, or of the store, to the own ones.
   *
   * @param nowNanos the monotonic time
   */
  public Changes merge(Collection<PartRecord> records, long nowNanos) {
    for (PartRecord received : records) {
      Entry entry = entryOf(received.part());
      update(entry, entry.record.join(received), false, nowNanos);
      if (isBehind(received, entry.record)) {
        tellAgain(entry, nowNanos);
      }
    }
    return refresh();
  }

  private static boolean isBehind(PartRecord received, PartRecord known) {
    boolean lacksAnswer = known.answeredBefore() && !received.answeredBefore();
    return received.epoch() < known.epoch() || lacksAnswer;
  }

  /**
   * A daemon that was out of reach when the part was cleared, or that has not answered the part
   * itself, would bar it for ever.
   */
  private static void tellAgain(Entry entry, long nowNanos) {
    entry.changedNanos = nowNanos;
    entry.observedHere = true;
  }

  private Entry entryOf(Fingerprint part) {
    return entries.computeIfAbsent(part, Entry::new);
  }

  private void update(Entry entry, PartRecord changed, boolean observed, long nowNanos) {
    PartRecord before = entry.record;
    Fingerprint part = before.part();
    entry.record = answered.contains(part) ? changed.asAnsweredBefore() : changed;
    entry.usedNanos = nowNanos;
    if (!entry.record.equals(before)) {
      entry.changedNanos = nowNanos;
      entry.observedHere |= observed;
    }
    if (!before.crashes().containsAll(entry.record.crashes())) {
      entry.crashedNanos = nowNanos;
    }
    entry.updateKnown(nowNanos);
    if (entry.record.trials() != before.trials()) {
      entry.trialNanos = nowNanos;
    }
    evict(nowNanos, part);
  }

  private Changes refresh() {
    Set<Fingerprint> before = barred;
    List<PartRecord> records = new ArrayList<>();
    entries.values().forEach(entry -> records.add(entry.record));
    barred = PartBlame.of(records);
    barred.forEach(part -> entryOf(part).markBarred());
    return new Changes(difference(barred, before), difference(before, barred));
  }

  private static Set<Fingerprint> difference(Set<Fingerprint> from, Set<Fingerprint> without) {
    if (without.containsAll(from)) {
      return Set.of();
    }
    Set<Fingerprint> left = new HashSet<>(from);
    left.removeAll(without);
    return left;
  }

  /**
   * Tells whether a daemon should request a trial of the barred parts of a request: each of them
   * must be due. Parts that are always together could never be tried otherwise.
   *
   * @param requestParts the parts of the request that would be sent
   * @param nowNanos the monotonic time
   */
  public boolean mayRequestTrial(Collection<Fingerprint> requestParts, long nowNanos) {
    long delayNanos = trialDelayNanos(requestParts);
    return !isTrialRunning(nowNanos)
        && requestParts.stream()
            .filter(barred::contains)
            .allMatch(part -> isTrialDue(part, nowNanos - delayNanos));
  }

  /**
   * Tells whether a trial may still crash its node. Another one at the same node would show nothing
   * then, and parts that crashed the same nodes so far could never be told apart.
   */
  private boolean isTrialRunning(long nowNanos) {
    return barred.stream()
        .map(entries::get)
        .anyMatch(entry -> entry != null && isOnTrial(entry, nowNanos));
  }

  private static boolean isOnTrial(Entry entry, long nowNanos) {
    boolean isRecent = nowNanos - entry.trialNanos < TRIAL_NANOS;
    boolean hasCrashed = entry.crashedNanos - entry.trialNanos >= 0;
    return entry.record.trials() > 0 && isRecent && !hasCrashed;
  }

  /** Returns how much longer than others a request leaves the trial of its barred parts to them. */
  private long trialDelayNanos(Collection<Fingerprint> requestParts) {
    if (requestParts.stream().filter(barred::contains).count() > 1) {
      return BARRED_PARTS_DELAY_NANOS;
    }
    long unknown = requestParts.stream().filter(part -> !isKnownSound(part)).count();
    return unknown > 1 ? UNKNOWN_PART_DELAY_NANOS : 0;
  }

  private boolean isKnownSound(Fingerprint part) {
    return crashCount(part) == 0 && answered.contains(part);
  }

  /**
   * Returns the part whose owner grants the trial of a request with several barred parts: the one
   * with the most crashes, and the first in the prompt of those, which most requests share, so that
   * these ask the same owner.
   *
   * @param barredParts the barred parts of the request in the order of its prompt, one at least
   */
  public Fingerprint trialPartOf(List<Fingerprint> barredParts) {
    return barredParts.stream().max(Comparator.comparingInt(this::crashCount)).orElseThrow();
  }

  /**
   * Records a trial of parts for which no trial was requested: those that were barred together with
   * the one whose trial has been granted.
   *
   * @param nowNanos the monotonic time
   */
  public void recordTrial(Collection<Fingerprint> parts, long nowNanos) {
    for (Fingerprint part : parts) {
      Entry entry = entryOf(part);
      update(entry, entry.record.withTrial(), true, nowNanos);
      urgent = true;
    }
  }

  private boolean isTrialDue(Fingerprint part, long nowNanos) {
    Entry entry = entries.get(part);
    return entry != null && barred.contains(part) && nanosUntilTrial(entry, nowNanos) <= 0;
  }

  /**
   * Grants a trial of a barred part, on behalf of all daemons.
   *
   * @param nowNanos the monotonic time
   */
  public boolean grantTrial(Fingerprint part, long nowNanos) {
    Entry entry = entries.get(part);
    if (entry == null || isTrialRunning(nowNanos) || !isTrialDue(part, nowNanos)) {
      return false;
    }
    update(entry, entry.record.withTrial(), true, nowNanos);
    urgent = true;
    return true;
  }

  /**
   * Returns the time until the next trial of a barred part.
   *
   * @param nowNanos the monotonic time
   * @return nanoseconds; 0 if a trial is due or the part is not barred
   */
  public long nanosUntilTrial(Fingerprint part, long nowNanos) {
    Entry entry = barred.contains(part) ? entries.get(part) : null;
    return entry == null ? 0 : Math.max(0, nanosUntilTrial(entry, nowNanos));
  }

  private long nanosUntilTrial(Entry entry, long nowNanos) {
    int trials = entry.record.trials();
    long sinceCrash = nowNanos - entry.crashedNanos;
    long sinceTrial = trials == 0 ? sinceCrash : nowNanos - entry.trialNanos;
    boolean hasNoResult = trials > 0 && trials < MAX_SOON && !hasFailedTrial(entry);
    int delays = hasNoResult ? 0 : Math.min(trials, TRIAL_DELAY_NANOS.length - 1);
    return TRIAL_DELAY_NANOS[delays] - Math.min(sinceCrash, sinceTrial);
  }

  /**
   * Tells whether a node has crashed since the last trial for which no other part accounts. A
   * request with another faulty part may reach the node of the trial before that part is barred.
   */
  private boolean hasFailedTrial(Entry tried) {
    Set<NodeIncarnation> since = tried.crashesKnownAfter(tried.trialNanos - 1);
    Collection<Entry> all = entries.values();
    return since.stream()
        .anyMatch(crash -> all.stream().noneMatch(each -> isDueTo(each, crash, tried)));
  }

  /** Tells whether a crash may be due to a part that was not in the request of a trial. */
  private boolean isDueTo(Entry other, NodeIncarnation crash, Entry tried) {
    Set<NodeIncarnation> crashes = other.record.crashes();
    boolean isSuspect = !other.record.answeredBefore() || barred.contains(other.record.part());
    boolean triedToo = other.record.trials() > 0 && other.trialNanos - tried.trialNanos >= 0;
    if (other == tried || !isSuspect || triedToo || !crashes.contains(crash)) {
      return false;
    }
    Set<NodeIncarnation> ownCrashes = tried.record.crashes();
    return crashes.stream().filter(each -> !ownCrashes.contains(each)).count()
        >= MIN_CRASHES_ELSEWHERE;
  }

  /**
   * Tells whether this daemon has observed a crash, granted a trial or cleared a barred part since
   * the last call. Other daemons must learn it at once.
   */
  public boolean takeUrgent() {
    boolean wasUrgent = urgent;
    urgent = false;
    return wasUrgent;
  }

  /**
   * Returns the records for the next message to other daemons: those of barred parts and recent
   * changes, each in rotation.
   *
   * @param asRelay whether to include changes that were received from other daemons
   * @param nowNanos the monotonic time
   */
  public List<PartRecord> recordsToSend(boolean asRelay, long nowNanos) {
    if (entries.isEmpty()) {
      return List.of();
    }
    rotation++;
    List<PartRecord> ofBarred = new ArrayList<>();
    List<PartRecord> recent = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean isRecent = nowNanos - entry.changedNanos < RECENT_NANOS;
      if (barred.contains(entry.record.part())) {
        ofBarred.add(entry.record);
      } else if (isRecent && (entry.observedHere || asRelay)) {
        recent.add(entry.record);
      }
    }
    List<PartRecord> selected =
        new ArrayList<>(Rotation.select(ofBarred, MAX_BARRED_SENT, rotation));
    selected.addAll(Rotation.select(recent, MAX_RECENT_SENT, rotation));
    return selected;
  }

  /**
   * Removes the oldest record if it has expired, and the one with the fewest crashes if there are
   * too many.
   */
  private void evict(long nowNanos, Fingerprint kept) {
    Entry oldest = entries.values().iterator().next();
    if (nowNanos - oldest.usedNanos > RECORD_TTL_NANOS) {
      entries.remove(oldest.record.part());
    }
    if (entries.size() > MAX_RECORDS) {
      Fingerprint fewest = fewestCrashes(kept);
      entries.remove(fewest);
    }
  }

  private @Nullable Fingerprint fewestCrashes(Fingerprint kept) {
    Entry fewest = null;
    for (Entry entry : entries.values()) {
      boolean fewer = fewest == null || entry.record.crashCount() < fewest.record.crashCount();
      if (fewer && !entry.record.part().equals(kept)) {
        fewest = entry;
      }
    }
    return fewest == null ? null : fewest.record.part();
  }

  /**
   * Returns the record of a part.
   *
   * @return the record; null when there is none
   */
  public @Nullable PartRecord recordOf(Fingerprint part) {
    Entry entry = entries.get(part);
    return entry == null ? null : entry.record;
  }

  /** Returns the records of all barred parts. */
  public List<PartRecord> barredRecords() {
    List<PartRecord> records = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (barred.contains(entry.record.part())) {
        records.add(entry.record);
      }
    }
    return records;
  }

  /** Returns the number of barred parts. */
  public int barredCount() {
    return barred.size();
  }

  /** Returns the number of records. */
  public int size() {
    return entries.size();
  }
}
