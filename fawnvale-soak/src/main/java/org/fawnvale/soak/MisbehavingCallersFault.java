package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fawnvale.standins.CallerCrowd;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** Crowds of clients that misbehave come to one daemon, or to all, beside the other callers. */
final class MisbehavingCallersFault {

  private static final int MIN_CLIENTS = 100;
  private static final int CLIENTS_RANGE = 500;
  private static final int MIN_DURATION_MILLIS = 1_000;
  private static final int DURATION_RANGE_MILLIS = 6_000;

  private MisbehavingCallersFault() {}

  static String send(FaultContext context, Random random) {
    CallerCrowd.Kind kind =
        CallerCrowd.Kind.values()[random.nextInt(CallerCrowd.Kind.values().length)];
    int clients = MIN_CLIENTS + random.nextInt(CLIENTS_RANGE);
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    boolean all = random.nextBoolean();
    List<EdgeDaemon> met =
        all ? context.daemons() : List.of(FaultContext.randomElement(context.daemons(), random));
    List<CallerCrowd> crowds = new ArrayList<>();
    for (EdgeDaemon daemon : met) {
      context.recorder().readersSilent(daemon.number(), true, daemon.isAlive());
      crowds.add(CallerCrowd.send(daemon.frontend(), kind, clients / met.size()));
    }
    context.schedule(duration, () -> end(context, met, crowds));
    return kind + ", " + clients + " clients at " + met.size() + " daemons for " + duration + " ms";
  }

  private static void end(FaultContext context, List<EdgeDaemon> met, List<CallerCrowd> crowds) {
    EndlessAnswersFault.recordDaemons(context);
    for (EdgeDaemon daemon : met) {
      context.recorder().readersSilent(daemon.number(), false, daemon.isAlive());
    }
    crowds.forEach(CallerCrowd::close);
  }
}
