package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.ConfigurationChange;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Lets sound workers stand still: all model workers, most of them, or all one after the other, with
 * or without the plain workers; once, or twice in a row; beside a change of the configuration, a
 * signal to daemons, or nothing.
 */
final class SilenceFault {

  private static final int MIN_SILENCE_MILLIS = 900;
  private static final int SILENCE_RANGE_MILLIS = 701;
  private static final int MIN_GAP_MILLIS = 150;
  private static final int GAP_RANGE_MILLIS = 451;
  private static final int MIN_DELAY_MILLIS = 100;
  private static final int DELAY_RANGE_MILLIS = 501;
  private static final int MIN_STEP_MILLIS = 50;
  private static final int STEP_RANGE_MILLIS = 151;
  private static final double MIN_SHARE = 0.6;
  private static final double SHARE_RANGE = 0.3;
  private static final int ONE_IN_WITH_PLAIN_WORKERS = 3;

  /** The time between two faults, so that at most two silences come in a row. */
  private static final long REST_MILLIS = 700;

  /** A fault that is drawn earlier before the end of another one is left out. */
  private static final long MAX_WAIT_MILLIS = 1_500;

  /** Callers have lost most answers beside changes of the configuration. */
  private static final List<Beside> MOSTLY_CHANGES =
      List.of(
          Beside.CONFIGURATION_CHANGE,
          Beside.CONFIGURATION_CHANGE,
          Beside.HANG_UP_OF_ALL_DAEMONS,
          Beside.STOP_OF_ONE_DAEMON,
          Beside.NOTHING);

  private SilenceFault() {}

  /** Which workers stand still. */
  private enum Extent {
    ALL,
    MOST,
    ONE_AFTER_THE_OTHER
  }

  /** What happens shortly before. */
  private enum Beside {
    NOTHING,
    CONFIGURATION_CHANGE,
    HANG_UP_OF_ALL_DAEMONS,
    STOP_OF_ONE_DAEMON
  }

  /**
   * One silence of one or several workers.
   *
   * @param workers the workers in the order in which they begin to stand still
   * @param stepMillis the time between the beginnings of two workers; 0 for all at once
   * @param millis how long each worker stands still
   */
  private record Silence(List<String> workers, int stepMillis, int millis) {

    long totalMillis() {
      return millis + (long) stepMillis * Math.max(0, workers.size() - 1);
    }
  }

  /** Begins one or two silences soon after the end of those of another fault. */
  static String begin(FaultContext context, Random random) {
    long now = System.nanoTime();
    long wait = Math.max(0, TimeUnit.NANOSECONDS.toMillis(context.silentUntilNanos().get() - now));
    if (wait > MAX_WAIT_MILLIS) {
      return "none, another one lasts";
    }
    String beside = scheduleBeside(context, random, wait);
    List<Silence> silences = draw(context, random);
    long delay = MIN_DELAY_MILLIS + random.nextInt(DELAY_RANGE_MILLIS);
    long gap = MIN_GAP_MILLIS + random.nextInt(GAP_RANGE_MILLIS);
    long at = wait + delay;
    for (Silence silence : silences) {
      schedule(context, silence, at);
      at += silence.totalMillis() + gap;
    }
    context.silentUntilNanos().set(now + TimeUnit.MILLISECONDS.toNanos(at - gap + REST_MILLIS));
    return silences + ", gap " + gap + " ms, " + delay + " ms after " + beside + " in " + wait;
  }

  private static String scheduleBeside(FaultContext context, Random random, long waitMillis) {
    Beside beside = FaultContext.randomElement(MOSTLY_CHANGES, random);
    ConfigurationChange change =
        FaultContext.randomElement(List.of(ConfigurationChange.values()), random);
    EdgeDaemon daemon = FaultContext.randomElement(context.daemons(), random);
    context.schedule(waitMillis, () -> happen(beside, change, daemon, context));
    return switch (beside) {
      case CONFIGURATION_CHANGE -> change.toString();
      case STOP_OF_ONE_DAEMON -> beside + " " + daemon.number();
      default -> beside.toString();
    };
  }

  private static void happen(
      Beside beside, ConfigurationChange change, EdgeDaemon daemon, FaultContext context) {
    switch (beside) {
      case CONFIGURATION_CHANGE ->
          context.platform().changeConfiguration(change, context.nextVersion());
      case HANG_UP_OF_ALL_DAEMONS -> context.daemons().forEach(each -> context.run(each::hangUp));
      case STOP_OF_ONE_DAEMON -> Faults.stop(context, daemon);
      default -> {
        // Nothing happens.
      }
    }
  }

  private static List<Silence> draw(FaultContext context, Random random) {
    Extent extent = FaultContext.randomElement(List.of(Extent.values()), random);
    List<String> workers = new ArrayList<>(context.platform().groupWorkers());
    if (random.nextInt(ONE_IN_WITH_PLAIN_WORKERS) == 0) {
      workers.addAll(context.platform().plainWorkers());
    }
    int count = random.nextBoolean() ? 2 : 1;
    List<Silence> silences = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      silences.add(draw(extent, workers, random));
    }
    return silences;
  }

  private static Silence draw(Extent extent, List<String> workers, Random random) {
    List<String> drawn = new ArrayList<>(workers);
    Collections.shuffle(drawn, random);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    int step = MIN_STEP_MILLIS + random.nextInt(STEP_RANGE_MILLIS);
    int millis = MIN_SILENCE_MILLIS + random.nextInt(SILENCE_RANGE_MILLIS);
    int size = extent == Extent.MOST ? (int) Math.ceil(share * drawn.size()) : drawn.size();
    return new Silence(
        List.copyOf(drawn.subList(0, size)),
        extent == Extent.ONE_AFTER_THE_OTHER ? step : 0,
        millis);
  }

  private static void schedule(FaultContext context, Silence silence, long delayMillis) {
    if (silence.stepMillis() == 0) {
      context.schedule(delayMillis, () -> stand(context, silence.workers(), silence.millis()));
      return;
    }
    long at = delayMillis;
    for (String worker : silence.workers()) {
      context.schedule(at, () -> stand(context, List.of(worker), silence.millis()));
      at += silence.stepMillis();
    }
  }

  private static void stand(FaultContext context, List<String> workers, long millis) {
    workers.forEach(worker -> context.recorder().silent(worker, millis));
    context.platform().silences().begin(workers, millis);
  }
}
