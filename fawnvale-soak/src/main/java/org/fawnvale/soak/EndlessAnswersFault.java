package org.fawnvale.soak;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** Workers send answers that never end; checks that no daemon ends by itself. */
final class EndlessAnswersFault {

  private static final int MIN_DURATION_MILLIS = 500;
  private static final int DURATION_RANGE_MILLIS = 4_000;
  private static final double MIN_SHARE = 0.1;
  private static final double SHARE_RANGE = 0.6;

  /** The time around a signal in which a daemon may not run. */
  private static final long SIGNALLED_NANOS = 12_000_000_000L;

  private EndlessAnswersFault() {}

  static String begin(FaultContext context, Random random) {
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    boolean all = random.nextBoolean();
    List<String> workers =
        all
            ? context.platform().groupWorkers()
            : List.of(Faults.randomWorker(context, random), Faults.randomWorker(context, random));
    workers.forEach(id -> context.platform().sendEndlessAnswers(id, duration, share));
    context.schedule(duration, () -> recordDaemons(context));
    return String.format(
        Locale.ROOT, "%.2f of the answers of %s for %d ms", share, all ? "all" : workers, duration);
  }

  /** Records which daemons run. */
  static void recordDaemons(FaultContext context) {
    for (EdgeDaemon daemon : context.daemons()) {
      context.recorder().daemonSeen(daemon.number(), daemon.isAlive());
    }
  }

  /** A daemon ends only when it is told to. */
  static Verdict daemonsRunOn(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    for (Event.DaemonSeen event : history.all(Event.DaemonSeen.class)) {
      long from = event.atNanos() - SIGNALLED_NANOS;
      if (history.wasSignalled(event.daemon(), from, event.atNanos())) {
        continue;
      }
      verdict.countCase();
      if (!event.alive()) {
        verdict.addBreach("daemon " + event.daemon() + " has ended by itself");
      }
    }
    return verdict.build();
  }
}
