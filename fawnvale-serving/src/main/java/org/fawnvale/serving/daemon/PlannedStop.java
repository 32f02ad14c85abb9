package org.fawnvale.serving.daemon;

import java.util.function.LongSupplier;
import org.fawnvale.serving.core.shutdown.StopSchedule;

/** Timing of a graceful shutdown: how long a daemon keeps running after the request to stop. */
final class PlannedStop {

  private static final long POLL_MILLIS = 50;

  /**
   * Number of consecutive polls without an open request after which the daemon may exit. Callers
   * that keep their connections may send the next request as soon as they have read a response.
   */
  private static final int IDLE_POLLS = 3;

  private final StopSchedule schedule;

  /**
   * Creates the timing of one shutdown.
   *
   * @param begunNanos the monotonic time of the request to stop, in nanoseconds
   * @param graceMillis the maximum duration of the shutdown, in milliseconds
   */
  PlannedStop(long begunNanos, long graceMillis) {
    this(new StopSchedule(begunNanos, graceMillis));
  }

  /** Creates the timing of one shutdown with a schedule. */
  PlannedStop(StopSchedule schedule) {
    this.schedule = schedule;
  }

  /** Suspends the thread. */
  @FunctionalInterface
  interface Sleeper {
    void sleep(long millis) throws InterruptedException;
  }

  /** The requests that callers still send or whose responses they have not read. */
  @FunctionalInterface
  interface OpenRequests {

    /**
     * Returns whether any request is open.
     *
     * @param refuseNew whether the gateway refuses new requests from now on
     * @return true while a request is open
     */
    boolean isBusy(boolean refuseNew);
  }

  /**
   * Blocks until the daemon may exit or the thread is interrupted.
   *
   * @param clock the monotonic time, in nanoseconds
   * @param sleeper suspends the thread between two polls
   * @param requests the open requests
   */
  void await(LongSupplier clock, Sleeper sleeper, OpenRequests requests) {
    int idlePolls = 0;
    try {
      while (!schedule.isRefusingNew(clock.getAsLong())
          || idlePolls < IDLE_POLLS && schedule.leftNanos(clock.getAsLong()) > 0) {
        sleeper.sleep(POLL_MILLIS);
        boolean busy = requests.isBusy(schedule.isRefusingNew(clock.getAsLong()));
        idlePolls = busy ? 0 : idlePolls + 1;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Blocks until the last answers are written, for one poll at least: a request that was read just
   * before the last one has been refused by then.
   *
   * @param clock the monotonic time, in nanoseconds
   * @param sleeper suspends the thread between two polls
   * @param requests the open requests
   */
  void awaitLastAnswers(LongSupplier clock, Sleeper sleeper, OpenRequests requests) {
    try {
      do {
        sleeper.sleep(POLL_MILLIS);
      } while (requests.isBusy(true) && schedule.writeOutLeftNanos(clock.getAsLong()) > 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
