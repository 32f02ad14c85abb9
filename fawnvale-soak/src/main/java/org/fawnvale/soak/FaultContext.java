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
 * The parts of a run that a fault may act on.
 *
 * @param platform the stand-in for the store and the workers
 * @param callers sends the requests that a fault needs
 * @param recorder records what a fault did
 * @param timer runs the later steps of a fault
 * @param versions the newest configuration version
 * @param outages the number of active faults that keep the store down
 * @param unevenUntilNanos when the last balancer that prefers one daemon ends, on the monotonic
 *     clock
 * @param silentUntilNanos until when no further silence of workers begins, on the monotonic clock
 * @param failingUntilNanos until when all workers of a service fail, on the monotonic clock
 */
record FaultContext(
    UsersPlatformStandIn platform,
    List<EdgeDaemon> daemons,
    Callers callers,
    Recorder recorder,
    ScheduledExecutorService timer,
    AtomicLong versions,
    AtomicInteger outages,
    AtomicLong unevenUntilNanos,
    AtomicLong silentUntilNanos,
    AtomicLong failingUntilNanos) {

  /** The largest increment between two configuration versions. */
  private static final int MAX_VERSION_STEP = 4;

  long nextVersion() {
    return versions.addAndGet(1 + ThreadLocalRandom.current().nextInt(MAX_VERSION_STEP));
  }

  /** Stops the store. Outages may overlap: the store returns when the last one ends. */
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

  static <T> T randomElement(List<T> list, Random random) {
    return list.get(random.nextInt(list.size()));
  }

  void schedule(long millis, Step step) {
    timer.schedule(() -> run(step), millis, TimeUnit.MILLISECONDS);
  }

  void run(Step step) {
    try {
      step.run();
    } catch (Exception e) {
      recorder.faultInjected("failed: " + e);
    }
  }

  /** One step of a fault. */
  @FunctionalInterface
  interface Step {

    /**
     * Runs the step.
     *
     * @throws Exception when the step fails; the failure is recorded and the run continues
     */
    void run() throws Exception;
  }
}
