package org.fawnvale.soak;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * What a trouble may touch.
 *
 * @param platform the store and the workers
 * @param daemons the daemons
 * @param callers send requests of their own
 * @param recorder notes what was done
 * @param timer runs what ends a trouble
 * @param versions the newest version of the configuration
 * @param outages how many troubles keep the store away now
 */
record World(
    UsersPlatformStandIn platform,
    List<EdgeDaemon> daemons,
    Callers callers,
    Recorder recorder,
    ScheduledExecutorService timer,
    AtomicLong versions,
    AtomicInteger outages) {

  /** Versions rise by uneven steps. */
  private static final int MOST_STEP = 4;

  long nextVersion() {
    return versions.addAndGet(1 + ThreadLocalRandom.current().nextInt(MOST_STEP));
  }

  /** Troubles that keep the store away overlap; it is there again when the last one ends. */
  void storeDown() {
    recorder.storeTrouble(true);
    outages.incrementAndGet();
    platform.storeDown(true);
  }

  void storeUp() {
    if (outages.decrementAndGet() == 0) {
      platform.storeDown(false);
    }
    recorder.storeTrouble(false);
  }

  static <T> T any(List<T> some, Random draws) {
    return some.get(draws.nextInt(some.size()));
  }

  void later(long millis, Step step) {
    timer.schedule(() -> run(step), millis, TimeUnit.MILLISECONDS);
  }

  void run(Step step) {
    try {
      step.run();
    } catch (Exception e) {
      recorder.struck("failed: " + e);
    }
  }

  /** A part of a trouble. */
  @FunctionalInterface
  interface Step {

    /**
     * Does it.
     *
     * @throws Exception when it could not be done; the run goes on without
     */
    void run() throws Exception;
  }
}
