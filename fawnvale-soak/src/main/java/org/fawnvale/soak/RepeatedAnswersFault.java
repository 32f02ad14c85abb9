package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Workers send answers a second time, where the next answer on the connection is due; checks that
 * no answer that a worker made is lost by it.
 */
final class RepeatedAnswersFault {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MIN_DURATION_MILLIS = 2_000;
  private static final int DURATION_RANGE_MILLIS = 5_000;
  private static final double MIN_SHARE = 0.03;
  private static final double SHARE_RANGE = 0.3;
  private static final double MAX_REJECTED_SHARE = 0.5;

  /** How long after the trouble an answer too many may still come on an idle connection. */
  private static final long AFTER_NANOS = 2_000 * NANOS_PER_MILLI;

  private RepeatedAnswersFault() {}

  static String begin(FaultContext context, Random random) {
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    double rejected = MAX_REJECTED_SHARE * random.nextDouble();
    boolean all = random.nextBoolean();
    List<String> workers = new ArrayList<>(context.platform().plainWorkers());
    workers.addAll(context.platform().groupWorkers());
    if (!all) {
      workers.removeIf(worker -> random.nextBoolean());
    }
    workers.forEach(id -> context.platform().repeatAnswers(id, duration, share, rejected));
    return String.format(
        Locale.ROOT,
        "%.2f of the answers of %s for %d ms, %.2f of the requests rejected",
        share,
        all ? "all" : workers,
        duration,
        rejected);
  }

  /** An attempt that a worker begins while answers come twice gets the answer of that worker. */
  static Verdict answersAreDelivered(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    List<Event.AnswersRepeated> troubles = history.all(Event.AnswersRepeated.class);
    AttemptExcuses excuses = new AttemptExcuses(history);
    List<JudgedAttempt> begun =
        excuses.without(attempt -> isBeside(troubles, excuses.firstBegan(attempt.id())));
    for (JudgedAttempt attempt : begun) {
      verdict.countCase();
      if (attempt.isLost()) {
        verdict.addBreach(
            attempt.id()
                + " began at a worker and ended with status "
                + attempt.answered().answer().status());
      }
    }
    return verdict.build();
  }

  private static boolean isBeside(
      List<Event.AnswersRepeated> troubles, Event.@Nullable Began began) {
    return began != null
        && troubles.stream()
            .filter(trouble -> trouble.worker().equals(began.worker()))
            .anyMatch(
                trouble ->
                    trouble.atNanos() <= began.atNanos()
                        && began.atNanos()
                            <= trouble.atNanos()
                                + trouble.millis() * NANOS_PER_MILLI
                                + AFTER_NANOS);
  }
}
