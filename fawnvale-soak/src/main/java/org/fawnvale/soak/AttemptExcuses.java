package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Finds the attempts that sound workers owe a whole answer whatever else happens.
 *
 * <p>Left out are attempts that other troubles of the same time may have cost: those at a daemon
 * that was killed, frozen or started, or cut off from the workers, and those at a daemon that was
 * stopped and isn't started again, unless a worker began them, since a planned stop awaits their
 * answers; those that a daemon forwarded to another one while any daemon was signalled; and all
 * that overlap the time in which any worker failed, was removed, or was told to refuse or break off
 * requests, since requests move between workers and a lost member breaks the streams of its head. A
 * hang-up and a change of the configuration leave nothing out.
 */
final class AttemptExcuses {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long the start of a daemon costs requests. */
  private static final long AFTERMATH_NANOS = 2_000 * NANOS_PER_MILLI;

  private static final String STOP = "stop";
  private static final Set<String> ENDS = Set.of(STOP, "kill");

  private final RunHistory history;
  private final Impairments impairments;
  private final List<Event.Signalled> signals;
  private final Set<String> forwarded = new HashSet<>();
  private final Map<String, Event.Began> firstBegan = new HashMap<>();

  AttemptExcuses(RunHistory history) {
    this(history, Impairments.of(history));
  }

  /**
   * Finds the attempts of a run.
   *
   * @param impairments the times of workers that excuse an attempt
   */
  AttemptExcuses(RunHistory history, Impairments impairments) {
    this.history = history;
    this.impairments = impairments;
    signals = history.all(Event.Signalled.class);
    history.all(Event.Forwarded.class).forEach(event -> forwarded.add(event.attempt()));
    history.all(Event.Began.class).forEach(event -> firstBegan.putIfAbsent(event.attempt(), event));
  }

  /** Returns when a worker first began an attempt; null if none did. */
  Event.@Nullable Began firstBegan(String attempt) {
    return firstBegan.get(attempt);
  }

  /** Returns the attempts that meet a condition and have no excuse. */
  List<JudgedAttempt> without(Predicate<JudgedAttempt> condition) {
    Map<String, Event.Sent> sent = history.sent();
    List<JudgedAttempt> judged = new ArrayList<>();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      Event.Sent request = sent.get(answered.attempt());
      if (request != null && Callers.isOrdinary(request.attempt())) {
        JudgedAttempt attempt = new JudgedAttempt(request, answered);
        if (condition.test(attempt) && !isExcused(attempt)) {
          judged.add(attempt);
        }
      }
    }
    return judged;
  }

  private boolean isExcused(JudgedAttempt attempt) {
    int daemon = attempt.sent().daemon();
    long from = attempt.sent().atNanos();
    long until = attempt.answered().atNanos();
    return impairments.overlap(from, until)
        || wasUnplannedAt(daemon, attempt)
        || history.wasCutFromWorkers(daemon, from, until)
        || forwarded.contains(attempt.id()) && wasAnySignalled(from - AFTERMATH_NANOS, until);
  }

  private boolean wasUnplannedAt(int daemon, JudgedAttempt attempt) {
    boolean mayRun = firstBegan.containsKey(attempt.id());
    long from = attempt.sent().atNanos() - AFTERMATH_NANOS;
    boolean signalled =
        signals.stream()
            .filter(event -> event.daemon() == daemon)
            .filter(event -> event.atNanos() >= from)
            .filter(event -> event.atNanos() <= attempt.answered().atNanos())
            .anyMatch(event -> !mayRun || !STOP.equals(event.what()));
    return signalled || !mayRun && hasEnded(daemon, attempt.sent().atNanos());
  }

  private boolean hasEnded(int daemon, long atNanos) {
    return signals.stream()
        .filter(event -> event.daemon() == daemon)
        .filter(event -> event.atNanos() <= atNanos)
        .reduce((earlier, later) -> later)
        .filter(last -> ENDS.contains(last.what()))
        .isPresent();
  }

  private boolean wasAnySignalled(long fromNanos, long untilNanos) {
    return signals.stream()
        .anyMatch(event -> event.atNanos() >= fromNanos && event.atNanos() <= untilNanos);
  }
}
