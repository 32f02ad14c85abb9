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
 * Requests that were running where nodes ended, by all daemons' word. One that ended {@value
 * #MAX_FAILURES} nodes is sent to none any more, whoever asks for it, with whatever id, at whatever
 * daemon: where only one attempt remembered, one request ended 20 nodes, each with its group and up
 * to 32 streams.
 *
 * <p>A request that merely ran beside such a one is harmed by an end as well, so a single end says
 * little. Harmless requests are told apart by the number of different nodes, and since an answer
 * clears them.
 */
public final class Quarantine {

  /**
   * Nodes that a request may end before it is sent to none. An attempt may go to two nodes and a
   * caller has two or three attempts, so a harmless request seldom meets three ends, and has one
   * try left when it does.
   */
  public static final int MAX_FAILURES = 3;

  /** From so many ends on a record is told again and again, so that those who start learn of it. */
  private static final int RESEND_MIN_FAILURES = 2;

  /** Some 100 bytes each: 0.4 MB. A domain's loss brings a few hundred. */
  private static final int MAX_RECORDS = 4_096;

  /** Records told in one note: 24 of some 60 bytes leave it below 2 KB. */
  private static final int MAX_RECENT_SENT = 24;

  /** Records told on in one note. */
  private static final int MAX_RESENT = 2;

  /** How long what is new is told: notes go out each 150 ms, in large fleets to some only. */
  private static final long RECENT_NANOS = 2_000_000_000L;

  /**
   * How long a barred request is sent to none, until one caller's attempt is tried once more.
   * Callers are told to come back then. A harmless request may have run where three nodes ended for
   * another one's sake, and only an answer can show it.
   */
  public static final long TRIAL_DELAY_NANOS = 60_000_000_000L;

  /** Trials that leave is given for in all. */
  private static final int MAX_TRIALS = 3;

  /** A caller that has not asked for so long is not expected back. */
  private static final long RECORD_TTL_NANOS = 1_800_000_000_000L;

  private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
  private int rotation;
  private boolean urgent;
  private boolean trialsAllowed = true;

  /** A record, and since when it says so. */
  private static final class Entry {
    QuarantineRecord record;
    long changedNanos;
    long usedNanos;
    long quarantinedNanos;
    boolean observedHere;
    boolean trialSent;
    boolean trialAccepted;
    int trialsGranted;
    long trialGrantedNanos;

    Entry(Fingerprint fingerprint) {
      record = new QuarantineRecord(fingerprint, Set.of(), Set.of());
    }
  }

  /**
   * Tells whether anything is known, so that no fingerprint need be made otherwise.
   *
   * @return true while there is no record
   */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Names whether barred requests may be tried once more here without leave. In a fleet they may
   * not: one daemon gives leave for all, so that one attempt is sent, and not one by each daemon.
   *
   * @param allowed whether this daemon may
   */
  public void allowTrials(boolean allowed) {
    trialsAllowed = allowed;
  }

  /**
   * Tells whether a request is sent to no node any more.
   *
   * @param fingerprint the request
   * @param nowNanos the steady time
   * @return true once it has ended as many nodes as it may, unless its one trial is due here
   */
  public boolean isQuarantined(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return false;
    }
    entry.usedNanos = nowNanos;
    return entry.record.failureCount() >= MAX_FAILURES && !isTrialDue(entry, nowNanos);
  }

  /** A trial that ends a node as well makes one end too many for another. */
  private boolean isTrialDue(Entry entry, long nowNanos) {
    boolean allowed = trialsAllowed || entry.trialAccepted;
    return allowed && !entry.trialSent && isTrialDelayOver(entry, nowNanos);
  }

  private static boolean isTrialDelayOver(Entry entry, long nowNanos) {
    boolean mayBeHarmless = entry.record.failureCount() == MAX_FAILURES;
    return mayBeHarmless && nowNanos - entry.quarantinedNanos >= TRIAL_DELAY_NANOS;
  }

  /**
   * Tells whether leave may be asked for to try a barred request once more.
   *
   * @param fingerprint the request
   * @param nowNanos the steady time
   * @return true when it was barred long enough ago and has not been tried here
   */
  public boolean mayRequestTrial(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    return entry != null && !entry.trialSent && isTrialDelayOver(entry, nowNanos);
  }

  /**
   * Gives leave for one trial of a barred request, for all daemons. Leave may get lost with the
   * daemon that asked for it, so there is more of it, but little and late: what each trial harms is
   * counted, and one end more is the last.
   *
   * @param fingerprint the request
   * @param nowNanos the steady time
   * @return whether it may be tried
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

  /**
   * Takes in leave for one trial.
   *
   * @param fingerprint the request
   */
  public void acceptTrial(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry != null) {
      entry.trialAccepted = true;
    }
  }

  /**
   * Notes that a request is sent to a node. If that is the trial of a barred one there is no other.
   *
   * @param fingerprint the request
   */
  public void recordSent(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry != null) {
      entry.trialSent |= entry.record.failureCount() >= MAX_FAILURES;
    }
  }

  /**
   * Ends that are held against a request.
   *
   * @param fingerprint the request
   * @return their number
   */
  public int failureCount(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? 0 : entry.record.failureCount();
  }

  /**
   * Notes that a node ended while it ran a request.
   *
   * @param fingerprint the request
   * @param life the node
   * @param nowNanos the steady time
   * @return how many ends are held against the request now
   */
  public int recordFailure(Fingerprint fingerprint, NodeIncarnation life, long nowNanos) {
    return merge(new QuarantineRecord(fingerprint, Set.of(life), Set.of()), true, nowNanos);
  }

  /**
   * Notes that a node has run a request to its end: those that ended before did so for another
   * reason.
   *
   * @param fingerprint the request
   * @param nowNanos the steady time
   */
  public void recordResponse(Fingerprint fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry != null && entry.record.failureCount() > 0) {
      merge(new QuarantineRecord(fingerprint, Set.of(), entry.record.failures()), true, nowNanos);
    }
  }

  /**
   * Takes in what another daemon tells.
   *
   * @param records its records
   * @param nowNanos the steady time
   * @return requests that are barred from now on
   */
  public List<Fingerprint> mergeFromPeer(Collection<QuarantineRecord> records, long nowNanos) {
    List<Fingerprint> barred = new ArrayList<>();
    for (QuarantineRecord told : records) {
      int before = failureCount(told.fingerprint());
      int after = merge(told, false, nowNanos);
      if (before < MAX_FAILURES && after >= MAX_FAILURES) {
        barred.add(told.fingerprint());
      }
    }
    return barred;
  }

  private int merge(QuarantineRecord told, boolean own, long nowNanos) {
    Entry entry = entries.computeIfAbsent(told.fingerprint(), Entry::new);
    QuarantineRecord before = entry.record;
    entry.record = before.merge(told);
    entry.usedNanos = nowNanos;
    if (!entry.record.equals(before)) {
      boolean begins =
          before.failureCount() < MAX_FAILURES && entry.record.failureCount() >= MAX_FAILURES;
      entry.quarantinedNanos = begins ? nowNanos : entry.quarantinedNanos;
      entry.changedNanos = nowNanos;
      entry.observedHere = own;
      urgent |= own;
    }
    evict(nowNanos);
    return entry.record.failureCount();
  }

  /**
   * Tells whether this daemon has seen what the others should know at once, and takes note that
   * they are told.
   *
   * @return true when it has
   */
  public boolean takeUrgent() {
    boolean had = urgent;
    urgent = false;
    return had;
  }

  /**
   * What to tell other daemons now: what is new, and a few of the records that many ends are held
   * against, in turn.
   *
   * @param forOthers whether what others have told is told on, as a relay does
   * @param nowNanos the steady time
   * @return the records
   */
  public List<QuarantineRecord> recordsToSend(boolean forOthers, long nowNanos) {
    rotation++;
    List<QuarantineRecord> fresh = new ArrayList<>();
    List<QuarantineRecord> heavy = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean isNew = nowNanos - entry.changedNanos < RECENT_NANOS;
      if (isNew && (entry.observedHere || forOthers)) {
        fresh.add(entry.record);
      } else if (entry.record.failureCount() >= RESEND_MIN_FAILURES) {
        heavy.add(entry.record);
      }
    }
    List<QuarantineRecord> told = new ArrayList<>(rotate(fresh, MAX_RECENT_SENT));
    told.addAll(rotate(heavy, MAX_RESENT));
    return told;
  }

  private List<QuarantineRecord> rotate(List<QuarantineRecord> records, int most) {
    if (records.size() <= most) {
      return records;
    }
    List<QuarantineRecord> some = new ArrayList<>();
    for (int place = 0; place < most; place++) {
      some.add(records.get(Math.floorMod(rotation * most + place, records.size())));
    }
    return some;
  }

  /** Records of which nothing was heard for long go; of too many the lightest, oldest one goes. */
  private void evict(long nowNanos) {
    Entry first = entries.values().iterator().next();
    if (nowNanos - first.usedNanos > RECORD_TTL_NANOS) {
      entries.remove(first.record.fingerprint());
    }
    if (entries.size() > MAX_RECORDS) {
      Fingerprint lightest = fewestFailures();
      entries.remove(lightest);
    }
  }

  private @Nullable Fingerprint fewestFailures() {
    Entry lightest = null;
    for (Entry entry : entries.values()) {
      if (lightest == null || entry.record.failureCount() < lightest.record.failureCount()) {
        lightest = entry;
      }
    }
    return lightest == null ? null : lightest.record.fingerprint();
  }

  /**
   * What is known of a request.
   *
   * @param fingerprint the request
   * @return its record; null when nothing is known
   */
  public @Nullable QuarantineRecord recordOf(Fingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? null : entry.record;
  }

  /**
   * What is known of the requests that are sent to no node.
   *
   * @return their records
   */
  public List<QuarantineRecord> quarantinedRecords() {
    List<QuarantineRecord> barred = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.record.failureCount() >= MAX_FAILURES) {
        barred.add(entry.record);
      }
    }
    return barred;
  }

  /**
   * Requests that are sent to no node.
   *
   * @return their number
   */
  public int quarantinedCount() {
    return quarantinedRecords().size();
  }

  /**
   * Records that are kept.
   *
   * @return their number
   */
  public int size() {
    return entries.size();
  }
}
