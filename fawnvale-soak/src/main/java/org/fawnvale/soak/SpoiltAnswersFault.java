package org.fawnvale.soak;

import com.fasterxml.jackson.databind.util.RawValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.fawnvale.standins.AnswerDamage;

/**
 * Workers spoil heads and chunk sizes of their answers, and answer requests that have run as if
 * they had not; other writers leave entries that are no JSON. What callers get then is judged by
 * the checks of whole answers and of refusals that are true: a spoilt answer has another body.
 */
final class SpoiltAnswersFault {

  private static final int MIN_DURATION_MILLIS = 2_000;
  private static final int DURATION_RANGE_MILLIS = 5_000;
  private static final double MIN_SHARE = 0.03;
  private static final double SHARE_RANGE = 0.3;
  private static final double MAX_PROMISED_SHARE = 0.2;
  private static final int MIN_ENTRY_MILLIS = 300;
  private static final int ENTRY_RANGE_MILLIS = 3_000;

  /** Entries that are no JSON: the last ones have no plain end either. */
  private static final List<String> ENTRIES =
      List.of(
          "{\"service\":\"drafter\",\"address\":\"127.0.0.1:\u0001\"}",
          "{\"service\":\"drafter\",\"zone\":\"a\nb\"}",
          "{\"service\":\"draf\\xter\"}",
          "{\"slots\":007}",
          "{\"slots\":NaN}",
          "{\"slots\":+4,\"zone\":'a'}",
          "{\"service\":\"drafter\",}",
          "{service}",
          "nul",
          "{\"service\":\"drafter\"",
          "{\"service\":\"drafter",
          "{\"models\":[{\"name\":\"m\"}",
          "{\"service\":\"drafter\"}}",
          "\"drafter");

  private SpoiltAnswersFault() {}

  static String spoilAnswers(FaultContext context, Random random) {
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    double promised = MAX_PROMISED_SHARE * random.nextDouble();
    boolean all = random.nextBoolean();
    List<String> workers = new ArrayList<>(context.platform().plainWorkers());
    workers.addAll(context.platform().groupWorkers());
    if (!all) {
      workers.removeIf(worker -> random.nextBoolean());
    }
    AnswerDamage damage = AnswerDamage.spoiling(share, promised);
    workers.forEach(id -> context.platform().damageAnswers(id, duration, damage));
    return String.format(
        Locale.ROOT,
        "%.2f of the answers of %s for %d ms, %.2f of the plain requests refused behind their run",
        share,
        all ? "all" : workers,
        duration,
        promised);
  }

  static String spoilEntry(FaultContext context, Random random) {
    String id = Faults.randomWorker(context, random);
    String entry = FaultContext.randomElement(ENTRIES, random);
    long duration = MIN_ENTRY_MILLIS + random.nextInt(ENTRY_RANGE_MILLIS);
    context.recorder().impaired(id, duration);
    context.platform().spoilEntry(id, new RawValue(entry));
    context.schedule(duration, () -> context.platform().writeEntry(id));
    return id + " is " + entry + " for " + duration + " ms";
  }
}
