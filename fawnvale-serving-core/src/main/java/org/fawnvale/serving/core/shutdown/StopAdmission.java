package org.fawnvale.serving.core.shutdown;

/**
 * Decides during a planned stop whether a request may begin at an upstream: only if it can be
 * expected to end before the process exits. One that is refused has not run, so that its caller can
 * send it to another daemon at once.
 */
public final class StopAdmission {

  private final StopSchedule schedule;
  private final RouteDurations durations;

  /**
   * Creates the decision of one stop.
   *
   * @param schedule when the stop ends
   * @param durations how long requests of each route take
   */
  public StopAdmission(StopSchedule schedule, RouteDurations durations) {
    this.schedule = schedule;
    this.durations = durations;
  }

  /**
   * Tells whether new requests are refused whatever their duration.
   *
   * @param nowNanos the time on the monotonic clock
   * @return true from the time on by which the balancer sends none
   */
  public boolean isRefusingNew(long nowNanos) {
    return schedule.isRefusingNew(nowNanos);
  }

  /**
   * Tells whether a request may begin. One whose deadline comes before the end of the stop is
   * answered by then in any case, and one of a route with an unknown duration is taken for short,
   * as most are.
   *
   * @param route the name of its route
   * @param deadlineNanos when its caller must have the answer, on the monotonic clock
   * @param nowNanos the time on the same clock
   * @return false if more than half of the route's last requests would not end in time
   */
  public boolean mayBegin(String route, long deadlineNanos, long nowNanos) {
    long leftNanos = schedule.leftNanos(nowNanos);
    return leftNanos > 0
        && (deadlineNanos - nowNanos <= leftNanos
            || durations.usualNanos(route).orElse(0) <= leftNanos);
  }
}
