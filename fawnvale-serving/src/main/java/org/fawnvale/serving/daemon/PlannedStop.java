package org.fawnvale.serving.daemon;

import java.util.function.LongSupplier;

/** How long a daemon goes on after it was told to stop. */
final class PlannedStop {

  /** The balancer asks each second and leaves a daemon out after two answers that are not good. */
  private static final long LEAVE_BALANCER_MILLIS = 3_000;

  /** Left of the grace for the end of the process and its last log lines; an estimate. */
  private static final long GRACE_MARGIN_MILLIS = 700;

  private static final long POLL_MILLIS = 50;

  /**
   * How often in a row no request must be under way: a request has ended for the gateway before the
   * last bytes of its answer have left, and closing its connection then cuts the answer short. Two
   * looks more give them a tenth of a second.
   */
  private static final int IDLE_POLLS = 3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long leaveAtNanos;
  private final long endAtNanos;

  /**
   * Creates the plan of a stop.
   *
   * @param begunNanos when the daemon was told, as steady time
   * @param graceMillis how long it may take in all, in milliseconds
   */
  PlannedStop(long begunNanos, long graceMillis) {
    this.leaveAtNanos = begunNanos + LEAVE_BALANCER_MILLIS * NANOS_PER_MILLI;
    this.endAtNanos = begunNanos + (graceMillis - GRACE_MARGIN_MILLIS) * NANOS_PER_MILLI;
  }

  /** Lets time pass. */
  @FunctionalInterface
  interface Pause {
    void pause(long millis) throws InterruptedException;
  }

  /** The requests under way. */
  @FunctionalInterface
  interface Work {

    /**
     * Tells whether any request is under way.
     *
     * @param refuse whether requests that come from now on are to be refused
     * @return true while there is one
     */
    boolean isBusy(boolean refuse);
  }

  /**
   * Waits until the daemon may end.
   *
   * @param clock the steady time, in nanoseconds
   * @param pause lets time pass
   * @param work the requests under way
   */
  void await(LongSupplier clock, Pause pause, Work work) {
    int idlePolls = 0;
    try {
      while (clock.getAsLong() < leaveAtNanos
          || idlePolls < IDLE_POLLS && clock.getAsLong() < endAtNanos) {
        pause.pause(POLL_MILLIS);
        boolean busy = work.isBusy(clock.getAsLong() >= leaveAtNanos);
        idlePolls = busy ? 0 : idlePolls + 1;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
