package org.fawnvale.upstream;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A point on the monotonic clock after which an exchange is abandoned. */
public final class Deadline {

  private final LongSupplier nanoClock;
  private final long atNanos;

  private Deadline(LongSupplier nanoClock, long atNanos) {
    this.nanoClock = nanoClock;
    this.atNanos = atNanos;
  }

  /**
   * Creates a deadline relative to now.
   *
   * @param nanoClock the monotonic clock, nanoseconds
   * @param millis time until the deadline, milliseconds
   */
  public static Deadline in(LongSupplier nanoClock, long millis) {
    return new Deadline(nanoClock, nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /**
   * Returns the remaining time.
   *
   * @return milliseconds, 0 or less once it has passed
   */
  public long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(atNanos - nanoClock.getAsLong());
  }

  /**
   * Returns the deadline as a clock reading.
   *
   * @return nanoseconds of the monotonic clock
   */
  public long atNanos() {
    return atNanos;
  }

  /**
   * Returns whether the deadline has passed.
   *
   * @return true if less than a millisecond remains
   */
  public boolean hasPassed() {
    return remainingMillis() <= 0;
  }

  /**
   * Returns the remaining time as a socket timeout.
   *
   * @param limitMillis the longest timeout, milliseconds
   * @return milliseconds, at least 1 because 0 would mean no timeout
   */
  public int timeoutMillis(long limitMillis) {
    return (int) Math.max(1, Math.min(limitMillis, remainingMillis()));
  }
}
