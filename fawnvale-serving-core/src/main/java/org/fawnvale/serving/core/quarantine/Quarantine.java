package org.fawnvale.serving.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * Tracks requests that ran on nodes that ended, as observed by all daemons. Once {@value
 * #MAX_FAILURES} different nodes have ended while they ran a request, the request is quarantined:
 * no daemon sends it to a node any more, whichever caller repeats it under whichever request id.
 * Without records that daemons share, one request ended 20 nodes, each with its group and with up
 * to 32 streams of the group.
 *
 * <p>The end of a node also affects harmless requests that ran beside the faulty one, so one
 * failure proves little. Harmless requests seldom run on that many different nodes that end, and a
 * response clears them.
 *
 * <p>Not thread-safe.
 */
public final class Quarantine {

  /**
   * Node failures after which a request is quarantined. An attempt may use two nodes and a caller
   * makes two or three attempts, so a harmless request seldom meets three failures.
   */
  public static final int MAX_FAILURES = 3;

  /**
   * Records with at least this many failures are sent repeatedly, so that daemons that have just
   * started learn them.
   */
  private static final int RESEND_MIN_FAILURES = 2;

  /**
   * Upper bound of the records: 0.4 MB at about 100 bytes each. The loss of a fabric domain adds a
   * few hundred.
   */
  private static final int MAX_RECORDS = 4_096;

  /** Recent records in one message: 24 of about 60 bytes keep it below 2 KB. */
  private static final int MAX_RECENT_SENT = 24;

  /** Older records that are sent again in one message. */
  private static final int MAX_RESENT = 2;

  /** Failures of which none counts any more, from which on a record is dropped; 30 bytes each. */
  private static final int MAX_SETTLED_FAILURES = 32;

  /**
   * How long a change counts as recent. Messages are sent every 150 ms; in large fleets each one
   * goes to some of the daemons only.
   */
  private static final long RECENT_NANOS = 2_000_000_000L;

  /**
   * Time from the quarantine of a request to its trial: one caller's attempt is sent to a node once
   * more. Callers receive this time as Retry-After. A harmless request may have been quarantined
   * because of another one, and only a response can show that.
   */
  public static final long TRIAL_DELAY_NANOS = 60_000_000_000L;

  /**
   * How long after the quarantine of a request the ends of further nodes may still be reported that
   * ended before all daemons knew of it. Much shorter than the trial delay, because a daemon that
   * has just started learns of the quarantine later than the others.
   */
  private static final long WAVE_NANOS = 5_000_000_000L;

  /** Number of trials that are granted for one quarantined request. */
  private static final int MAX_TRIALS = 3;

  /** How long a record is kept after its request was last seen. */
  private static final long RECORD_TTL_NANOS = 1_800_000_000_000L;

  private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
  private int rotation;
  private boolean urgent;
  private boolean trialsAllowed = true;

  private static final class Entry {
    QuarantineRecord record;
    long changedNanos;
    long usedNanos;
    long quarantinedNanos;
    boolean observedHere;
    boolean trialSent;
    boolean trialAccepted;
    boolean trialFailed;
    int trialsGranted;
    long trialGrantedNanos;

    Entry(Fingerprint fingerprint) {
      record = new QuarantineRecord(fingerprint, Set.of(), Set.of());
    }
  }

  /** Tells whether there is no record, so that callers can skip the computation of fingerprints. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Sets whether this daemon may start trials without a grant. In a fleet it may not: one daemon
   * grants trials for all daemons, so that a single attempt is sent instead of one per daemon.
   */
  public void allowTrials(boolean allowed) {
    trialsAllowed = allowed;
  }

  /**
   * Tells whether a request must not be sent to any node.
   *
   * @param nowNanos the monotonic time
   * @return false also when a trial of the quarantined request is due at this daemon
   */
  public boolean isQuarantined(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return false;
    }
    entry.usedNanos = nowNanos;
    return entry.record.failureCount() >= MAX_FAILURES && !isTrialDue(entry, nowNanos);
  }

  private boolean isTrialDue(Entry entry, long nowNanos) {
    boolean allowed = trialsAllowed || entry.trialAccepted;
    return allowed && !entry.trialSent && isTrialDelayOver(entry, nowNanos);
  }

  private static boolean isTrialDelayOver(Entry entry, long nowNanos) {
    boolean quarantined = entry.record.failureCount() >= MAX_FAILURES;
    return quarantined
        && !entry.trialFailed
        && nowNanos - entry.quarantinedNanos >= TRIAL_DELAY_NANOS;
  }

  /**
   * Tells whether an update shows a failed trial, after which no other one follows. Failures soon
   * after the third belong to nodes that ended together with it; a record with more failures that
   * is learned as a whole may hold a failed trial.
   */
  private static boolean showsFailedTrial(
      Entry entry, int failuresBefore, boolean observed, long nowNanos) {
    if (entry.record.failureCount() <= Math.max(MAX_FAILURES, failuresBefore)) {
      return false;
    }
    boolean wasQuarantined = failuresBefore >= MAX_FAILURES;
    return wasQuarantined ? nowNanos - entry.quarantinedNanos >= WAVE_NANOS : !observed;
  }

  /**
   * Tells whether this daemon may request a grant for a trial of a quarantined request.
   *
   * @param nowNanos the monotonic time
   * @return true when the trial delay is over and this daemon has sent no trial yet
   */
  public boolean mayRequestTrial(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    return entry != null && !entry.trialSent && isTrialDelayOver(entry, nowNanos);
  }

  /**
   * Grants a trial of a quarantined request, on behalf of all daemons. A grant is lost when the
   * daemon that requested it dies, so it can be granted again after a delay, {@value #MAX_TRIALS}
   * times in total. Once one trial fails, no more are granted.
   *
   * @param nowNanos the monotonic time
   */
  public boolean grantTrial(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null
        || !isTrialDelayOver(entry, nowNanos)
        || entry.trialsGranted == MAX_TRIALS
        || entry.trialsGranted > 0 && nowNanos - entry.trialGrantedNanos < TRIAL_DELAY_NANOS) {
      return false;
    }
    entry.trialsGranted++;
    entry.trialGrantedNanos = nowNanos;
    return true;
  }

  /** Records that this daemon was granted a trial. */
  public void acceptTrial(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry != null) {
      entry.trialAccepted = true;
    }
  }

  /**
   * Records that a request is sent to a node. If the request is quarantined, this daemon starts no
   * further trial of it.
   */
  public void recordSent(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry != null) {
      entry.trialSent |= entry.record.failureCount() >= MAX_FAILURES;
    }
  }

  /** Returns the number of node failures that count against a request. */
  public int failureCount(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? 0 : entry.record.failureCount();
  }

  /**
   * Records that a node ended while it ran a request.
   *
   * @param nowNanos the monotonic time
   * @return the number of failures that count against the request now
   */
  public int recordFailure(Fingerprint fingerprint, NodeIncarnation incarnation, long nowNanos) {
    return merge(new QuarantineRecord(fingerprint, Set.of(incarnation), Set.of()), true, nowNanos);
  }

  /**
   * Records that a node completed a request. The earlier failures no longer count against it.
   *
   * @param nowNanos the monotonic time
   */
  public void recordResponse(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry != null && entry.record.failureCount() > 0) {
      merge(new QuarantineRecord(fingerprint, Set.of(), entry.record.failures()), true, nowNanos);
    }
  }

  /**
   * Merges the records of another daemon.
   *
   * @param nowNanos the monotonic time
   * @return the requests that are newly quarantined
   */
  public List<Fingerprint> mergeFromPeer(Collection<QuarantineRecord> records, long nowNanos) {
    List<Fingerprint> added = new ArrayList<>();
    for (QuarantineRecord received : records) {
      int before = failureCount(received.fingerprint());
      int after = merge(received, false, nowNanos);
      if (before < MAX_FAILURES && after >= MAX_FAILURES) {
        added.add(received.fingerprint());
      }
    }
    return added;
  }

  private int merge(QuarantineRecord update, boolean observed, long nowNanos) {
    Entry entry = entries.computeIfAbsent(update.fingerprint(), Entry::new);
    QuarantineRecord before = entry.record;
    entry.record = before.merge(update);
    entry.usedNanos = nowNanos;
    if (!entry.record.equals(before)) {
      boolean becomesQuarantined =
          before.failureCount() < MAX_FAILURES && entry.record.failureCount() >= MAX_FAILURES;
      entry.trialFailed |= showsFailedTrial(entry, before.failureCount(), observed, nowNanos);
      entry.trialFailed &= entry.record.failureCount() >= MAX_FAILURES;
      entry.quarantinedNanos = becomesQuarantined ? nowNanos : entry.quarantinedNanos;
      entry.changedNanos = nowNanos;
      entry.observedHere = observed;
      urgent |= observed;
    }
    evict(nowNanos);
    return entry.record.failureCount();
  }

  /**
   * Tells whether this daemon has observed a failure or a response since the last call. Other
   * daemons must receive it at once.
   */
  public boolean takeUrgent() {
    boolean wasUrgent = urgent;
    urgent = false;
    return wasUrgent;
  }

  /**
   * Returns the records for the next message to other daemons: recent changes, and in rotation some
   * of the records with many failures.
   *
   * @param asRelay whether to include changes that were received from other daemons
   * @param nowNanos the monotonic time
   */
  public List<QuarantineRecord> recordsToSend(boolean asRelay, long nowNanos) {
    rotation++;
    entries.values().removeIf(entry -> isSettled(entry, nowNanos));
    List<QuarantineRecord> recent = new ArrayList<>();
    List<QuarantineRecord> repeated = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean isRecent = nowNanos - entry.changedNanos < RECENT_NANOS;
      if (isRecent && (entry.observedHere || asRelay)) {
        recent.add(entry.record);
      } else if (entry.record.failureCount() >= RESEND_MIN_FAILURES) {
        repeated.add(entry.record);
      }
    }
    List<QuarantineRecord> selected =
        new ArrayList<>(Rotation.select(recent, MAX_RECENT_SENT, rotation));
    selected.addAll(Rotation.select(repeated, MAX_RESENT, rotation));
    return selected;
  }

  /**
   * Returns whether a record says nothing any more, though it is long: a request that is asked for
   * again and again is beside many nodes that end, and its record would grow beyond a message.
   */
  private static boolean isSettled(Entry entry, long nowNanos) {
    return entry.record.failures().size() > MAX_SETTLED_FAILURES
        && entry.record.failureCount() == 0
        && nowNanos - entry.changedNanos >= RECENT_NANOS;
  }

  /**
   * Removes the record that was added first if it has expired. If there are too many records,
   * removes the oldest of those with the fewest failures.
   */
  private void evict(long nowNanos) {
    Entry oldest = entries.values().iterator().next();
    if (nowNanos - oldest.usedNanos > RECORD_TTL_NANOS) {
      entries.remove(oldest.record.fingerprint());
    }
    if (entries.size() > MAX_RECORDS) {
      Fingerprint fewest = fewestFailures();
      entries.remove(fewest);
    }
  }

  private @Nullable Fingerprint fewestFailures() {
    Entry fewest = null;
    for (Entry entry : entries.values()) {
      if (fewest == null || entry.record.failureCount() < fewest.record.failureCount()) {
        fewest = entry;
      }
    }
    return fewest == null ? null : fewest.record.fingerprint();
  }

  /**
   * Returns the record of a request.
   *
   * @return the record; null when there is none
   */
  public @Nullable QuarantineRecord recordOf(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? null : entry.record;
  }

  /** Returns the records of all quarantined requests. */
  public List<QuarantineRecord> quarantinedRecords() {
    List<QuarantineRecord> quarantined = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.record.failureCount() >= MAX_FAILURES) {
        quarantined.add(entry.record);
      }
    }
    return quarantined;
  }

  /** Returns the number of quarantined requests. */
  public int quarantinedCount() {
    return quarantinedRecords().size();
  }

  /** Returns the number of records. */
  public int size() {
    return entries.size();
  }
}
