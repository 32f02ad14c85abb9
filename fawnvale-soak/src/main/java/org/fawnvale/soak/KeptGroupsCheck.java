package org.fawnvale.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks that no open group whose members all live is dissolved because its members are silent.
 *
 * <p>That a group was open and whole is the workers' word; when it was dissolved is that of the
 * orders that its head accepted and of the leader's log. The reason stands in the log only. Other
 * reasons, such as an exchange for another model or a member that leaves, are no breach. Left out
 * are times in which something else may have been the cause: a fault of the store, a daemon that
 * was frozen or cut off from the workers, which sees them all stand still, and workers that failed,
 * were removed, or refused or broke off requests.
 */
final class KeptGroupsCheck {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long after a silence a group may still be dissolved for it. */
  private static final long DISSOLUTION_NANOS = 1_000 * NANOS_PER_MILLI;

  private static final Set<String> REASONS_OF_SILENCE =
      Set.of("its head stands still", "a member is missing or broken");

  /** How long after a freeze or a cut a daemon may judge by what it saw. */
  private static final long RECOVERY_NANOS = 3_000 * NANOS_PER_MILLI;

  private static final Set<String> PAUSES_OF_DAEMONS = Set.of("freeze", "thaw");

  private final RunHistory history;
  private final Silences silences;
  private final Impairments impairments;
  private final Map<String, Event.Dissolved> dissolved = new HashMap<>();
  private final Set<String> open = new HashSet<>();
  private final Set<String> breaches = new TreeSet<>();
  private final Verdict.Builder verdict = new Verdict.Builder();

  private KeptGroupsCheck(RunHistory history) {
    this.history = history;
    silences = Silences.of(history);
    impairments = Impairments.of(history);
    for (Event.Dissolved event : history.all(Event.Dissolved.class)) {
      dissolved.putIfAbsent(key(event.group(), event.epoch()), event);
    }
  }

  /** Counts the groups that are open at the beginning of a worker's silence as cases. */
  static Verdict groupsAreKept(RunHistory history) {
    KeptGroupsCheck check = new KeptGroupsCheck(history);
    history.events().forEach(check::follow);
    check.breaches.forEach(
        group -> check.verdict.addBreach(group + " was sound; " + check.dissolved.get(group)));
    return check.verdict.build();
  }

  private void follow(Event event) {
    if (event instanceof Event.Silent) {
      open.forEach(group -> verdict.countCase());
    } else if (event instanceof Event.GroupOpened opened) {
      open.add(key(opened.group(), opened.epoch()));
    } else if (event instanceof Event.MemberLost lost) {
      open.remove(key(lost.group(), lost.epoch()));
    } else if (event instanceof Event.Dissolved decision) {
      judge(key(decision.group(), decision.epoch()), event.atNanos());
    } else if (event instanceof Event.GroupEnded ended) {
      String group = key(ended.group(), ended.epoch());
      if (ended.whole()) {
        judge(group, event.atNanos());
      }
      open.remove(group);
    }
  }

  private void judge(String group, long atNanos) {
    Event.Dissolved decision = dissolved.get(group);
    boolean forSilence = decision != null && REASONS_OF_SILENCE.contains(decision.reason());
    if (open.contains(group)
        && forSilence
        && silences.overlap(atNanos, atNanos, DISSOLUTION_NANOS)
        && !mayHaveAnotherCause(atNanos)) {
      breaches.add(group);
    }
  }

  private boolean mayHaveAnotherCause(long atNanos) {
    return impairments.overlap(atNanos, atNanos)
        || StoreChecks.hadStoreFault(history, atNanos, atNanos)
        || wasAnyDaemonFrozen(atNanos)
        || wasAnyDaemonCut(atNanos);
  }

  private boolean wasAnyDaemonFrozen(long atNanos) {
    return history.all(Event.Signalled.class).stream()
        .filter(event -> PAUSES_OF_DAEMONS.contains(event.what()))
        .anyMatch(
            event -> event.atNanos() <= atNanos && event.atNanos() >= atNanos - RECOVERY_NANOS);
  }

  private boolean wasAnyDaemonCut(long atNanos) {
    return history.all(Event.WorkersCut.class).stream()
        .mapToInt(Event.WorkersCut::daemon)
        .distinct()
        .anyMatch(daemon -> history.wasCutFromWorkers(daemon, atNanos, atNanos));
  }

  private static String key(String group, long epoch) {
    return group + "@" + epoch;
  }
}
