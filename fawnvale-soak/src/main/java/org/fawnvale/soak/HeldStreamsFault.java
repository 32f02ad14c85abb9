package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.UsersConfiguration;

/**
 * The streams of some model workers stand still while these answer calls, beside others that go on
 * and are full: a daemon that moves a stream finds no place for it.
 */
final class HeldStreamsFault {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MIN_HELD_MILLIS = 300;
  private static final int HELD_RANGE_MILLIS = 1_201;

  /** Others stay full for longer, so that a stream that is moved late finds them so, too. */
  private static final int FULL_LONGER_MILLIS = 300;

  private static final double HELD_SHARE = 0.5;
  private static final double FULL_SHARE = 0.8;

  /** How long behind the end of a hold attempts may still suffer from it. */
  private static final long AFTER_NANOS = 500 * NANOS_PER_MILLI;

  /** A little less than the deadline, which daemons observe a moment early. */
  private static final long DEADLINE_NANOS =
      (UsersConfiguration.CALLER_DEADLINE_MILLIS - 200) * NANOS_PER_MILLI;

  private HeldStreamsFault() {}

  static String begin(FaultContext context, Random random) {
    List<String> workers = new ArrayList<>(context.platform().groupWorkers());
    Collections.shuffle(workers, random);
    int held = Math.max(1, (int) (HELD_SHARE * workers.size()));
    int millis = MIN_HELD_MILLIS + random.nextInt(HELD_RANGE_MILLIS);
    List<String> silent = List.copyOf(workers.subList(0, held));
    List<String> full = new ArrayList<>();
    for (String other : workers.subList(held, workers.size())) {
      if (random.nextDouble() < FULL_SHARE) {
        full.add(other);
        context.recorder().full(other, millis + FULL_LONGER_MILLIS);
        context.platform().turnAway(other, millis + FULL_LONGER_MILLIS, 0);
      }
    }
    silent.forEach(worker -> context.recorder().streamsHeld(worker, millis));
    context.platform().silences().holdStreams(silent, millis);
    return silent + " for " + millis + " ms, full " + full;
  }

  /**
   * Attempts that began at a worker whose streams stood still end whole or are refused, unless
   * {@link AttemptExcuses} leaves them out; full workers leave none out. One that is lost at its
   * deadline is left to the other checks.
   */
  static Verdict answersAreWhole(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.StreamsHeld> holds = history.all(Event.StreamsHeld.class);
    AttemptExcuses excuses = new AttemptExcuses(history, Impairments.withoutFull(history));
    for (JudgedAttempt attempt : excuses.without(each -> isHeld(each, excuses, holds))) {
      verdict.countCase();
      if (attempt.isLost() && attempt.lifeNanos() < DEADLINE_NANOS) {
        verdict.addBreach(
            "%s at daemon %d ended with status %d after %d ms"
                .formatted(
                    attempt.id(),
                    attempt.sent().daemon(),
                    attempt.answered().answer().status(),
                    TimeUnit.NANOSECONDS.toMillis(attempt.lifeNanos())));
      }
    }
    return verdict.build();
  }

  private static boolean isHeld(
      JudgedAttempt attempt, AttemptExcuses excuses, List<Event.StreamsHeld> holds) {
    Event.Began began = excuses.firstBegan(attempt.id());
    return began != null
        && holds.stream()
            .filter(hold -> hold.worker().equals(began.worker()))
            .anyMatch(
                hold ->
                    hold.atNanos() <= attempt.answered().atNanos()
                        && hold.atNanos() + hold.millis() * NANOS_PER_MILLI + AFTER_NANOS
                            >= attempt.sent().atNanos());
  }
}
