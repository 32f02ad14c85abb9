package org.fawnvale.serving.core.peer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects that a daemon gets too little processor time, by how late its regular tick is in the mean
 * over the last second. The mean is weighted by time: a pause counts with its lateness for as long
 * as it lasted. A single pause of the garbage collector below 200 ms therefore adds less than 40 ms
 * and neither begins nor prolongs a shortage. The daemon's own work in a tick counts as lateness,
 * since everything else waits for it as well.
 *
 * <p>Not thread-safe.
 */
public final class ProcessorShortage {

  /** The span of the mean, and how long the mean has to stay low before a shortage ends. */
  private static final long WINDOW_NANOS = 1_000_000_000L;

  /**
   * The mean lateness above which a shortage begins. The event of a stream that is 200 ms late is
   * late for its caller, and half of that is left for the network.
   */
  private static final double BEGIN_NANOS = 100e6;

  /** The mean lateness below which a shortage may end. */
  private static final double END_NANOS = 40e6;

  /**
   * How long after its start a daemon reports no shortage. The compiler makes every start slow, and
   * callers need each daemon then.
   */
  private static final long START_NANOS = 10_000_000_000L;

  private final long startedNanos;
  private final long periodNanos;
  private final Deque<Interval> intervals = new ArrayDeque<>();
  private long lastTickNanos;
  private long lastHighNanos;
  private double meanLateNanos;
  private boolean isShort;
  private long shortSinceNanos;

  /** The time between two successive ticks. */
  private record Interval(long fromNanos, long toNanos) {}

  /**
   * Creates the detection of one daemon.
   *
   * @param startedNanos the monotonic time of the daemon's start
   * @param periodNanos the time after a tick when the next one is due, in nanoseconds
   */
  public ProcessorShortage(long startedNanos, long periodNanos) {
    this.startedNanos = startedNanos;
    this.periodNanos = periodNanos;
    this.lastTickNanos = startedNanos;
    this.lastHighNanos = startedNanos;
  }

  /**
   * Records a tick.
   *
   * @param nowNanos the monotonic time; not before that of the previous tick
   */
  public void tick(long nowNanos) {
    intervals.addLast(new Interval(lastTickNanos, nowNanos));
    lastTickNanos = nowNanos;
    meanLateNanos = meanLateNanos(nowNanos - WINDOW_NANOS);
    if (meanLateNanos >= END_NANOS) {
      lastHighNanos = nowNanos;
    }
    if (isShort) {
      isShort = nowNanos - lastHighNanos < WINDOW_NANOS;
    } else {
      isShort = meanLateNanos > BEGIN_NANOS && nowNanos - startedNanos >= START_NANOS;
      shortSinceNanos = nowNanos;
    }
  }

  /** Returns the mean since the given time; an interval that began earlier counts in part. */
  private double meanLateNanos(long sinceNanos) {
    while (!intervals.isEmpty() && intervals.getFirst().toNanos() - sinceNanos <= 0) {
      intervals.removeFirst();
    }
    double weighted = 0;
    for (Interval interval : intervals) {
      long late = interval.toNanos() - interval.fromNanos() - periodNanos;
      if (late > 0) {
        long span = interval.toNanos() - Math.max(interval.fromNanos(), sinceNanos);
        weighted += (double) late * span;
      }
    }
    return weighted / WINDOW_NANOS;
  }

  /** Returns whether the daemon was short of processor time at the last tick. */
  public boolean isShort() {
    return isShort;
  }

  /** Returns how long the shortage had lasted at the last tick, in nanoseconds; 0 without one. */
  public long shortForNanos() {
    return isShort ? lastTickNanos - shortSinceNanos : 0;
  }

  /** Returns how late ticks were in the mean of the second before the last one, in nanoseconds. */
  public double meanLateNanos() {
    return meanLateNanos;
  }
}
