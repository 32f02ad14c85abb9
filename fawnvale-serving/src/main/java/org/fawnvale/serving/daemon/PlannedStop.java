package org.fawnvale.serving.daemon;

import java.util.function.LongSupplier;

/** Timing of a graceful shutdown: how long a daemon keeps running after the request to stop. */
final class PlannedStop {

  /**
   * Time within which the balancer stops sending requests: it probes readiness every second and
   * removes a daemon after two failed probes.
   */
  private static final long BALANCER_REMOVAL_MILLIS = 3_000;

  /** Part of the grace period reserved for the exit of the process and its last log lines. */
  private static final long GRACE_MARGIN_MILLIS = 700;

  private static final long POLL_MILLIS = 50;

  /**
   * Number of consecutive polls without an open request after which the daemon may exit. Callers
   * that keep their connections may send the next request as soon as they have read a response.
   */
  private static final int IDLE_POLLS = 3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long balancerRemovalNanos;
  private final long deadlineNanos;

  /**
   * Creates the timing of one shutdown.
   *
   * @param begunNanos the monotonic time of the request to stop, in nanoseconds
   * @param graceMillis the maximum duration of the shutdown, in milliseconds
   */
  PlannedStop(long begunNanos, long graceMillis) {
    this.balancerRemovalNanos = begunNanos + BALANCER_REMOVAL_MILLIS * NANOS_PER_MILLI;
    this.deadlineNanos = begunNanos + (graceMillis - GRACE_MARGIN_MILLIS) * NANOS_PER_MILLI;
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
      while (clock.getAsLong() < balancerRemovalNanos
          || idlePolls < IDLE_POLLS && clock.getAsLong() < deadlineNanos) {
        sleeper.sleep(POLL_MILLIS);
        boolean busy = requests.isBusy(clock.getAsLong() >= balancerRemovalNanos);
        idlePolls = busy ? 0 : idlePolls + 1;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
