package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Faults in which workers advertise a request limit in their responses. */
final class LimitFaults {

  private static final int MIN_DURATION_MILLIS = 5_000;
  private static final int DURATION_RANGE_MILLIS = 4_000;
  private static final int MAX_CHANGES = 4;
  private static final double MIN_PER_SECOND = 0.5;
  private static final double PER_SECOND_RANGE = 5;

  /** Malformed limits: empty, negative, exponent, comma, unit, too long, not a number. */
  private static final List<String> MALFORMED =
      List.of("", "-2", "1e3", "1,5", "3/s", "1".repeat(1_000), "NaN");

  private LimitFaults() {}

  private static String randomLimit(Random random) {
    double limit = MIN_PER_SECOND + PER_SECOND_RANGE * random.nextDouble();
    return String.format(Locale.ROOT, "%.2f", limit);
  }

  private static long randomDuration(Random random) {
    return MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
  }

  private static void setLimit(FaultContext context, String id, @Nullable String limit) {
    if (limit == null) {
      context.recorder().limitEnded(id);
    }
    context.platform().nameLimit(id, limit);
  }

  static String oneWorker(FaultContext context, Random random) {
    String id = Faults.randomWorker(context, random);
    String limit = randomLimit(random);
    long duration = randomDuration(random);
    setLimit(context, id, limit);
    context.schedule(duration, () -> setLimit(context, id, null));
    return id + " names " + limit + " for " + duration + " ms";
  }

  static String allWorkers(FaultContext context, Random random) {
    List<String> ids = new ArrayList<>(context.platform().groupWorkers());
    ids.addAll(context.platform().plainWorkers());
    String limit = randomLimit(random);
    long duration = randomDuration(random);
    ids.forEach(id -> setLimit(context, id, limit));
    context.schedule(duration, () -> ids.forEach(id -> setLimit(context, id, null)));
    return "all name " + limit + " for " + duration + " ms";
  }

  /** Changes the limit of one worker several times, and sometimes withdraws it in between. */
  static String changing(FaultContext context, Random random) {
    String id = Faults.randomWorker(context, random);
    long duration = randomDuration(random);
    int changes = 2 + random.nextInt(MAX_CHANGES);
    List<String> limits = new ArrayList<>();
    for (int change = 0; change < changes; change++) {
      String limit = random.nextInt(MAX_CHANGES) == 0 ? null : randomLimit(random);
      limits.add(limit);
      context.schedule(change * duration / changes, () -> setLimit(context, id, limit));
    }
    context.schedule(duration, () -> setLimit(context, id, null));
    return id + " names " + limits + " within " + duration + " ms";
  }

  static String malformed(FaultContext context, Random random) {
    String id = Faults.randomWorker(context, random);
    String limit = FaultContext.randomElement(MALFORMED, random);
    long duration = randomDuration(random);
    setLimit(context, id, limit);
    context.schedule(duration, () -> setLimit(context, id, null));
    String shown = limit.substring(0, Math.min(limit.length(), MAX_CHANGES));
    return id + " names '" + shown + "' for " + duration + " ms";
  }
}
