package org.fawnvale.soak;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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
 */
record World(
    UsersPlatformStandIn platform,
    List<EdgeDaemon> daemons,
    Callers callers,
    Recorder recorder,
    ScheduledExecutorService timer) {

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
