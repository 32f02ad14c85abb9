package org.fawnvale.soak;

import java.util.List;
import java.util.Map;
import org.fawnvale.standins.UsersConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * Checks that the silence of sound workers costs no answer and lets no request run twice.
 *
 * <p>An attempt is judged when its life overlaps a silence or the {@link #AFTER_NANOS} behind it,
 * unless {@link AttemptExcuses} leaves it out.
 */
final class SilenceCheck {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long after a silence attempts may still suffer from it. */
  private static final long AFTER_NANOS = 500 * NANOS_PER_MILLI;

  /** A little less than the deadline, which daemons observe a moment early. */
  private static final long DEADLINE_NANOS =
      (UsersConfiguration.CALLER_DEADLINE_MILLIS - 200) * NANOS_PER_MILLI;

  /** Three times what a worker needs for the longest answer. */
  private static final long ANSWER_NANOS = 1_000 * NANOS_PER_MILLI;

  private final Silences silences;
  private final AttemptExcuses excuses;

  private SilenceCheck(RunHistory history) {
    silences = Silences.of(history);
    excuses = new AttemptExcuses(history);
  }

  /**
   * Attempts end with a whole answer or a refusal. One that is lost at its deadline is excused,
   * unless the first worker that began it had worked long enough to answer it.
   */
  static Verdict answersAreWhole(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    SilenceCheck check = new SilenceCheck(history);
    for (JudgedAttempt attempt : check.judged()) {
      verdict.countCase();
      Event.Began began = check.excuses.firstBegan(attempt.id());
      boolean inTime = attempt.lifeNanos() < DEADLINE_NANOS;
      if (attempt.isLost() && (inTime || check.hadTimeToAnswer(began, attempt))) {
        verdict.addBreach(describe(attempt, began));
      }
    }
    return verdict.build();
  }

  private boolean hadTimeToAnswer(Event.@Nullable Began began, JudgedAttempt attempt) {
    if (began == null) {
      return false;
    }
    long until = attempt.answered().atNanos();
    return silences.workingNanos(began.worker(), began.atNanos(), until) >= ANSWER_NANOS;
  }

  private static String describe(JudgedAttempt attempt, Event.@Nullable Began began) {
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
    for (JudgedAttempt attempt : new SilenceCheck(history).judged()) {
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

  private List<JudgedAttempt> judged() {
    return excuses.without(
        attempt ->
            silences.overlap(attempt.sent().atNanos(), attempt.answered().atNanos(), AFTER_NANOS));
  }
}
