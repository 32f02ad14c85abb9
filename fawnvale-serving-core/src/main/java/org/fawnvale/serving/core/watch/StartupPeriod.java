package org.fawnvale.serving.core.watch;

/**
 * The first seconds of a daemon, in which its timers may run up to a second late.
 *
 * @param startedNanos when the daemon started, in monotonic time, nanoseconds
 */
public record StartupPeriod(long startedNanos) {

  /**
   * The duration in nanoseconds. The compiler makes each start slow for up to 10 s on a busy
   * machine.
   */
  public static final long DURATION_NANOS = 10_000_000_000L;

  /**
   * How long an answer may take before it counts as lost, in nanoseconds. The transfer of 1,800
   * routes over a link of 14 Mbit/s takes 0.3 s, and code that is not compiled yet on a third of a
   * core reads them in as much. When all daemons start at once, a shorter time would transfer the
   * configuration to each of them twice.
   */
  public static final long ANSWER_NANOS = 800_000_000L;

  /** A period that is over at any time, for copies that need no faster start. */
  public static final StartupPeriod NONE = new StartupPeriod(Long.MIN_VALUE / 2);

  /**
   * Returns whether a time is within the period.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public boolean includes(long nowNanos) {
    return nowNanos - startedNanos < DURATION_NANOS;
  }
}
