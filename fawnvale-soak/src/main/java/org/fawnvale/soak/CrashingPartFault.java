package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests with prompt parts that crash workers: several parts at a time, no two requests
 * alike, at all daemons at once.
 */
final class CrashingPartFault {

  /** Parts at a time; each crashes several workers, and a run has eight. */
  private static final int MAX_PARTS = 3;

  private static final int CALLERS_OF_A_PART = 3;
  private static final int MAX_PAUSE_MILLIS = 250;

  /** Long enough that sound requests are compared for some seconds after a failed trial. */
  private static final long DURATION_MILLIS = 16_000;

  private CrashingPartFault() {}

  static String send(FaultContext context, Random random) {
    int count = 1 + random.nextInt(MAX_PARTS);
    List<String> parts = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      String part = Integer.toHexString(random.nextInt(Integer.MAX_VALUE));
      boolean first = random.nextBoolean();
      long seed = random.nextLong();
      if (context.platform().crashing().partCount() < MAX_PARTS) {
        parts.add(part + (first ? " first" : ""));
        start(context, part, first, new Random(seed));
      }
    }
    return parts + " for " + DURATION_MILLIS + " ms";
  }

  private static void start(FaultContext context, String part, boolean first, Random random) {
    context.platform().crashing().addPart(part);
    context.schedule(DURATION_MILLIS, () -> context.platform().crashing().removePart(part));
    for (int number = 0; number < CALLERS_OF_A_PART; number++) {
      Random callerRandom = new Random(random.nextLong());
      Thread caller =
          new Thread(() -> sendLoop(context, part, first, callerRandom), "crashing-part");
      caller.setDaemon(true);
      caller.start();
    }
  }

  private static void sendLoop(FaultContext context, String part, boolean first, Random random) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS);
    while (System.nanoTime() - until < 0) {
      int daemon = random.nextInt(context.daemons().size());
      String body = PromptParts.crashingBody(part, first, random.nextInt(Integer.MAX_VALUE));
      context.callers().sendOnce(daemon, RequestKind.STREAM, body);
      Callers.pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }
}
