package org.fawnvale.soak;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * All workers of a service fail most requests while daemons are killed, once or in series. Each
 * life of a daemon then sends all the retries that it may.
 */
final class RetryFault {

  private static final int MIN_DURATION_MILLIS = 6_000;
  private static final int DURATION_RANGE_MILLIS = 3_000;
  private static final int MIN_KILL_PAUSE_MILLIS = 2_500;
  private static final int KILL_PAUSE_RANGE_MILLIS = 3_000;

  /** More callers than usual, so that the retries that daemons may send are all used. */
  private static final int CALLERS = 10;

  private static final double MIN_SHARE = 0.6;
  private static final double SHARE_RANGE = 0.35;

  private RetryFault() {}

  /** Does nothing while an earlier fault of this kind is at work. */
  static String begin(FaultContext context, Random random) {
    long now = System.nanoTime();
    if (now - context.failingUntilNanos().get() < 0) {
      return "none, one is at work";
    }
    boolean plain = random.nextBoolean();
    List<String> workers =
        plain ? context.platform().plainWorkers() : context.platform().groupWorkers();
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    context.failingUntilNanos().set(now + TimeUnit.MILLISECONDS.toNanos(duration));
    workers.forEach(id -> context.platform().fail(id, duration, share));
    for (int number = 0; number < CALLERS; number++) {
      Random callerRandom = new Random(random.nextLong());
      RequestKind kind = plain ? RequestKind.SAFE : RequestKind.STREAM;
      startCaller(() -> context.callers().sendFor(duration, kind, callerRandom));
    }
    int kills = 0;
    long at = MIN_KILL_PAUSE_MILLIS + random.nextInt(KILL_PAUSE_RANGE_MILLIS);
    while (at < duration) {
      double killed = random.nextBoolean() ? 1 : random.nextDouble();
      long seed = random.nextLong();
      context.schedule(at, () -> killSome(context, killed, new Random(seed)));
      kills++;
      at += MIN_KILL_PAUSE_MILLIS + random.nextInt(KILL_PAUSE_RANGE_MILLIS);
    }
    return String.format(
        Locale.ROOT,
        "%.2f of the requests at all %s for %d ms, daemons killed %d times",
        share,
        plain ? "plain workers" : "group workers",
        duration,
        kills);
  }

  private static void startCaller(Runnable sends) {
    Thread thread = new Thread(sends, "retry-caller");
    thread.setDaemon(true);
    thread.start();
  }

  private static void killSome(FaultContext context, double share, Random random)
      throws IOException {
    for (EdgeDaemon daemon : context.daemons()) {
      if (random.nextDouble() < share) {
        context.recorder().signalled(daemon.number(), "kill");
        daemon.thaw();
        daemon.kill();
      }
    }
    for (EdgeDaemon daemon : context.daemons()) {
      Faults.restart(context, daemon);
    }
  }
}
