package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.standins.UsersConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * Checks that the silence of sound workers costs no answer and lets no request run twice.
 *
 * <p>An attempt is judged when its life overlaps a silence or the {@link #AFTER_NANOS} behind it.
 * Left out are attempts that other troubles of the same time may have cost: those at a daemon that
 * was killed, frozen or started, or cut off from the workers, and those at a daemon that was
 * stopped and isn't started again, unless a worker began them, since a planned stop awaits their
 * answers; those that a daemon forwarded to another one while any daemon was signalled; and all
 * that overlap the time in which any worker failed, was removed, or was told to refuse or break off
 * requests, since requests move between workers and a lost member breaks the streams of its head. A
 * hang-up and a change of the configuration leave nothing out.
 */
final class SilenceCheck {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long after a silence attempts may still suffer from it. */
  private static final long AFTER_NANOS = 500 * NANOS_PER_MILLI;

  /** How long the start of a daemon costs requests. */
  private static final long AFTERMATH_NANOS = 2_000 * NANOS_PER_MILLI;

  /** A little less than the deadline, which daemons observe a moment early. */
  private static final long DEADLINE_NANOS =
      (UsersConfiguration.CALLER_DEADLINE_MILLIS - 200) * NANOS_PER_MILLI;

  /** Three times what a worker needs for the longest answer. */
  private static final long ANSWER_NANOS = 1_000 * NANOS_PER_MILLI;

  private static final String STOP = "stop";
  private static final Set<String> ENDS = Set.of(STOP, "kill");
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final RunHistory history;
  private final Silences silences;
  private final Impairments impairments;
  private final List<Event.Signalled> signals;
  private final Set<String> forwarded = new HashSet<>();
  private final Map<String, Event.Began> firstBegan = new HashMap<>();

  private SilenceCheck(RunHistory history) {
    this.history = history;
    silences = Silences.of(history);
    impairments = Impairments.of(history);
    signals = history.all(Event.Signalled.class);
    history.all(Event.Forwarded.class).forEach(event -> forwarded.add(event.attempt()));
    history.all(Event.Began.class).forEach(event -> firstBegan.putIfAbsent(event.attempt(), event));
  }

  /** An attempt that sound workers owe a whole answer. */
  private record Judged(Event.Sent sent, Event.Answered answered) {

    String id() {
      return sent.attempt();
    }

    long lifeNanos() {
      return answered.atNanos() - sent.atNanos();
    }

    boolean isLost() {
      int status = answered.answer().status();
      return status == Answer.NONE || status == BAD_GATEWAY || status == GATEWAY_TIMEOUT;
    }
  }

  /**
   * Attempts end with a whole answer or a refusal. One that is lost at its deadline is excused,
   * unless the first worker that began it had worked long enough to answer it.
   */
  static Verdict answersAreWhole(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    SilenceCheck check = new SilenceCheck(history);
    for (Judged attempt : check.judged()) {
      verdict.countCase();
      Event.Began began = check.firstBegan.get(attempt.id());
      boolean inTime = attempt.lifeNanos() < DEADLINE_NANOS;
      if (attempt.isLost() && (inTime || check.hadTimeToAnswer(began, attempt))) {
        verdict.addBreach(describe(attempt, began));
      }
    }
    return verdict.build();
  }

  private boolean hadTimeToAnswer(Event.@Nullable Began began, Judged attempt) {
    if (began == null) {
      return false;
    }
    long until = attempt.answered().atNanos();
    return silences.workingNanos(began.worker(), began.atNanos(), until) >= ANSWER_NANOS;
  }

  private static String describe(Judged attempt, Event.@Nullable Began began) {
    return String.format(
        "%s at daemon %d, sent at %d ms, first worker %s, ended with status %d after %d ms",
        attempt.id(),
        attempt.sent().daemon(),
        attempt.sent().atNanos() / NANOS_PER_MILLI,
        began == null ? "none" : began.worker(),
        attempt.answered().answer().status(),
        attempt.lifeNanos() / NANOS_PER_MILLI);
  }

  /** Attempts begin at one worker only, and there once. */
  static Verdict attemptsBeginOnce(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, List<String>> began = history.beganAt();
    for (Judged attempt : new SilenceCheck(history).judged()) {
      List<String> workers = began.getOrDefault(attempt.id(), List.of());
      if (!workers.isEmpty()) {
        verdict.countCase();
      }
      if (workers.size() > 1) {
        verdict.addBreach(attempt.id() + " began at " + workers);
      }
    }
    return verdict.build();
  }

  private List<Judged> judged() {
    Map<String, Event.Sent> sent = history.sent();
    List<Judged> judged = new ArrayList<>();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      Event.Sent request = sent.get(answered.attempt());
      if (request != null && Callers.isOrdinary(request.attempt())) {
        Judged attempt = new Judged(request, answered);
        boolean beside = silences.overlap(request.atNanos(), answered.atNanos(), AFTER_NANOS);
        if (beside && !isExcused(attempt)) {
          judged.add(attempt);
        }
      }
    }
    return judged;
  }

  private boolean isExcused(Judged attempt) {
    int daemon = attempt.sent().daemon();
    long from = attempt.sent().atNanos();
    long until = attempt.answered().atNanos();
    return impairments.overlap(from, until)
        || wasUnplannedAt(daemon, attempt)
        || history.wasCutFromWorkers(daemon, from, until)
        || forwarded.contains(attempt.id()) && wasAnySignalled(from - AFTERMATH_NANOS, until);
  }

  private boolean wasUnplannedAt(int daemon, Judged attempt) {
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
