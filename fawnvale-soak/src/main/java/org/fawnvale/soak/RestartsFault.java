package org.fawnvale.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.ConfigurationChange;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * One trouble of several parts: all daemons are started again one after the other, twice, while
 * some workers stand still to the deadlines of their callers, all others break off a share of their
 * answers, streams stand still beside full workers, and the configuration changes.
 */
final class RestartsFault {

  private static final int ROUNDS = 2;
  private static final int MIN_STEP_MILLIS = 300;
  private static final int STEP_RANGE_MILLIS = 901;
  private static final int CHANGE_MILLIS = 1_200;
  private static final int HOLD_MILLIS = 2_500;
  private static final int SILENT_WORKERS = 2;
  private static final int SILENCE_MILLIS = 5_500;
  private static final double MIN_LOST_SHARE = 0.15;
  private static final double LOST_SHARE_RANGE = 0.35;

  private RestartsFault() {}

  /** Does nothing while an earlier trouble of this kind or a silence is at work. */
  static String begin(FaultContext context, Random random) {
    long now = System.nanoTime();
    if (now - context.silentUntilNanos().get() < 0) {
      return "none, one is at work";
    }
    int step = MIN_STEP_MILLIS + random.nextInt(STEP_RANGE_MILLIS);
    long duration = (long) step * ROUNDS * context.daemons().size();
    context.silentUntilNanos().set(now + TimeUnit.MILLISECONDS.toNanos(duration));
    double lost = MIN_LOST_SHARE + LOST_SHARE_RANGE * random.nextDouble();
    breakOffAndSilence(context, random, duration, lost);
    restartAll(context, random, step);
    for (long at = 0; at < duration; at += CHANGE_MILLIS) {
      ConfigurationChange change =
          FaultContext.randomElement(List.of(ConfigurationChange.values()), random);
      context.schedule(
          at, () -> context.platform().changeConfiguration(change, context.nextVersion()));
    }
    for (long at = step; at < duration; at += HOLD_MILLIS) {
      long seed = random.nextLong();
      context.schedule(at, () -> HeldStreamsFault.begin(context, new Random(seed)));
    }
    return String.format(
        Locale.ROOT, "each %d ms, %.2f of the answers lost for %d ms", step, lost, duration);
  }

  private static void breakOffAndSilence(
      FaultContext context, Random random, long duration, double lost) {
    List<String> workers = new ArrayList<>(context.platform().groupWorkers());
    workers.addAll(context.platform().plainWorkers());
    List<String> silent = new ArrayList<>();
    for (int number = 0; number < SILENT_WORKERS; number++) {
      silent.add(FaultContext.randomElement(workers, random));
    }
    workers.forEach(worker -> context.platform().loseAnswers(worker, duration, lost));
    silent.forEach(worker -> context.recorder().silent(worker, SILENCE_MILLIS));
    context.platform().silences().begin(silent, SILENCE_MILLIS);
  }

  private static void restartAll(FaultContext context, Random random, int step) {
    long at = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (EdgeDaemon daemon : context.daemons()) {
        boolean planned = random.nextBoolean();
        context.schedule(at, () -> startAgain(context, daemon, planned));
        at += step;
      }
    }
  }

  private static void startAgain(FaultContext context, EdgeDaemon daemon, boolean planned)
      throws IOException {
    if (planned) {
      Faults.stop(context, daemon);
      return;
    }
    context.recorder().signalled(daemon.number(), "kill");
    daemon.thaw();
    daemon.kill();
    Faults.restart(context, daemon);
  }
}
