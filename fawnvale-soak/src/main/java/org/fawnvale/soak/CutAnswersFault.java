package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.fawnvale.standins.AnswerDamage;

/**
 * Workers cut answers at any byte of a head, of a chunk's size or of the last chunk, by the end of
 * their connection; checks that a plain answer that looks complete has its whole body.
 */
final class CutAnswersFault {

  private static final int MIN_DURATION_MILLIS = 2_000;
  private static final int DURATION_RANGE_MILLIS = 5_000;
  private static final double MIN_SHARE = 0.03;
  private static final double SHARE_RANGE = 0.3;

  private CutAnswersFault() {}

  static String begin(FaultContext context, Random random) {
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    boolean all = random.nextBoolean();
    List<String> workers = new ArrayList<>(context.platform().plainWorkers());
    workers.addAll(context.platform().groupWorkers());
    if (!all) {
      workers.removeIf(worker -> random.nextBoolean());
    }
    AnswerDamage damage = AnswerDamage.cutting(share);
    workers.forEach(id -> context.platform().damageAnswers(id, duration, damage));
    return String.format(
        Locale.ROOT, "%.2f of the answers of %s for %d ms", share, all ? "all" : workers, duration);
  }

  /** A successful plain answer has the body that its worker wrote. */
  static Verdict plainBodiesAreWhole(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = history.sent();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      Event.Sent request = sent.get(answered.attempt());
      boolean plain = request != null && request.kind() != RequestKind.STREAM;
      if (plain && answered.answer().isSuccess()) {
        verdict.countCase();
        String body = answered.answer().body();
        if (!bodyOf(answered.attempt()).equals(body)) {
          verdict.addBreach(answered.attempt() + " got the body '" + body + "'");
        }
      }
    }
    return verdict.build();
  }

  private static String bodyOf(String attempt) {
    return "{\"attempt\":\"" + attempt + "\"}";
  }
}
