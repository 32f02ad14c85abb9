package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.reach.SilenceEvidence;

/**
 * Tells stalled groups from those that only pause or are slow, by what their members answer. The
 * members are asked as soon as any daemon suspects a head, so that the answers are known when the
 * suspicion is confirmed. Not thread-safe.
 */
final class StallCheck {

  private static final long MILLI = 1_000_000L;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Consumer<String> log;
  private final Map<String, StallSuspicion> suspicions = new LinkedHashMap<>();
  private final Map<String, Long> heldBackSince = new HashMap<>();

  /** When a silence was shared last; a new leader has to assume that one has just ended. */
  private long sharedNanos = NEVER;

  private long nowNanos = NEVER;

  /**
   * Creates a check without suspicions.
   *
   * @param log receives a line when a group begins to be held back and one when that ends
   */
  StallCheck(Consumer<String> log) {
    this.log = log;
  }

  /**
   * Returns the heads whose groups are dissolved as stalled.
   *
   * @param heads the heads that daemons suspect
   * @param groups the listed members of the groups that may serve
   * @param now the monotonic time, in nanoseconds
   * @return the confirmed heads without those whose groups may only pause or be slow, or whose
   *     members are still being asked
   */
  Set<String> stalled(SuspectedHeads heads, Map<GroupKey, List<Node>> groups, long now) {
    if (nowNanos == NEVER) {
      sharedNanos = now;
    }
    nowNanos = now;
    update(heads, groups, now);
    Set<String> stalled = new HashSet<>(heads.confirmed());
    suspicions.forEach(
        (head, suspicion) -> {
          if (suspicion.listedNanos() != now) {
            return;
          }
          if (isStalled(head, suspicion, heads.confirmed().contains(head), now)) {
            stalled.add(head);
          } else {
            stalled.remove(head);
          }
        });
    return stalled;
  }

  private void update(SuspectedHeads heads, Map<GroupKey, List<Node>> groups, long now) {
    Set<String> used = new HashSet<>();
    int suspected = 0;
    for (Map.Entry<GroupKey, List<Node>> group : groups.entrySet()) {
      String head = group.getKey().headAtEpoch();
      boolean isSuspected = heads.suspected().contains(head) || heads.confirmed().contains(head);
      if (isSuspected) {
        suspected++;
        suspicions.computeIfAbsent(head, name -> new StallSuspicion(group.getKey(), now));
      }
      StallSuspicion known = suspicions.get(head);
      if (known != null) {
        known.update(group.getValue(), isSuspected, now);
      }
      if (isSuspected || heads.used().contains(group.getKey().head())) {
        used.add(head);
      }
    }
    if (SilenceEvidence.isShared(used.size() - suspected, used.size())) {
      sharedNanos = now;
    }
    removeEnded(now);
  }

  private void removeEnded(long now) {
    for (String head : List.copyOf(suspicions.keySet())) {
      StallSuspicion suspicion = suspicions.get(head);
      if (suspicion.hasEnded(now)) {
        suspicions.remove(head);
        logRelease(head, suspicion, "goes_on", now);
      }
    }
  }

  private boolean isStalled(String head, StallSuspicion suspicion, boolean isConfirmed, long now) {
    boolean isProved = suspicion.isProvedBySilence(now) || suspicion.isProvedByLoss(now);
    if (!isConfirmed && !isProved) {
      return false;
    }
    suspicion.confirm();
    StallSuspicion.Verdict verdict = suspicion.verdict(sharedNanos, now);
    boolean stalled = verdict == StallSuspicion.Verdict.STALLED;
    if (stalled) {
      logRelease(head, suspicion, "stalled", now);
    } else if (verdict == StallSuspicion.Verdict.HELD_BACK
        && heldBackSince.putIfAbsent(head, now) == null) {
      log.accept(describe(suspicion, "held_back") + " silent=" + suspicion.silentIds(now));
    }
    return stalled;
  }

  private void logRelease(String head, StallSuspicion suspicion, String outcome, long now) {
    Long since = heldBackSince.remove(head);
    if (since != null) {
      log.accept(describe(suspicion, outcome) + " held_back_ms=" + (now - since) / MILLI);
    }
  }

  private static String describe(StallSuspicion suspicion, String outcome) {
    GroupKey key = suspicion.group();
    return "group=" + key.name() + " epoch=" + key.epoch() + " outcome=" + outcome;
  }

  /** Returns how many groups are held back from being dissolved. */
  int heldBack() {
    return heldBackSince.size();
  }

  /** Returns the ids of the nodes that are asked because of a suspicion. */
  Set<String> askedNodes() {
    Set<String> asked = new HashSet<>();
    for (StallSuspicion suspicion : suspicions.values()) {
      if (isAsked(suspicion)) {
        asked.addAll(suspicion.memberIds());
      }
    }
    return asked;
  }

  private boolean isAsked(StallSuspicion suspicion) {
    return suspicion.listedNanos() == nowNanos && suspicion.isCurrent(nowNanos);
  }

  /**
   * Requests the reports of the members of suspected groups.
   *
   * @param mayBeAsked tells whether a node may be sent a request now
   * @param sink receives the requests
   */
  void request(Predicate<Node> mayBeAsked, OrderSink sink) {
    for (StallSuspicion suspicion : suspicions.values()) {
      if (isAsked(suspicion)) {
        suspicion.ask(mayBeAsked, nowNanos).forEach(sink::report);
      }
    }
  }

  /**
   * Records what a node has answered to a request for its report.
   *
   * @param node the node that was asked
   * @param now the monotonic time, in nanoseconds
   */
  void record(Node node, ReportOutcome outcome, long now) {
    Collection<StallSuspicion> known = suspicions.values();
    known.forEach(suspicion -> suspicion.record(node, outcome, now));
  }
}
