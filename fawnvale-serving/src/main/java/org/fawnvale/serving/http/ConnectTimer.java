package org.fawnvale.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The timeout of one attempt to open a connection. The reactor checks connect timeouts only once a
 * second, so that 0.3 s became 1.1 s. Callers of the methods hold the daemon's lock.
 */
final class ConnectTimer {

  /** A timer that fires later than this shows that this daemon is delayed, in nanoseconds. */
  private static final long MAX_TIMER_DELAY_NANOS = 50_000_000L;

  /**
   * How often the timeout starts again at most, so that the attempt ends even if this daemon stays
   * late. One pause of the daemon makes one timer late, and the work that it left may make the next
   * one late; the last restart is for another pause.
   */
  private static final int MAX_RESTARTS = 3;

  private final Timers timers;
  private final LongSupplier nanoClock;
  private final long timeoutMillis;
  private final Runnable onTimeout;
  private @Nullable ScheduledFuture<?> timer;
  private long timeoutAtNanos;
  private int restarts;
  private boolean ended;

  /**
   * Creates a timer that does not run yet.
   *
   * @param timeoutMillis how long the connection may take to open, in milliseconds
   * @param onTimeout run at most once, unless the timer was ended before
   */
  ConnectTimer(Timers timers, long timeoutMillis, Runnable onTimeout) {
    this(timers, System::nanoTime, timeoutMillis, onTimeout);
  }

  /**
   * Creates a timer with a clock that shows how late it fires.
   *
   * @param nanoClock the monotonic time, in nanoseconds
   */
  ConnectTimer(Timers timers, LongSupplier nanoClock, long timeoutMillis, Runnable onTimeout) {
    this.timers = timers;
    this.nanoClock = nanoClock;
    this.timeoutMillis = timeoutMillis;
    this.onTimeout = onTimeout;
  }

  void start() {
    timeoutAtNanos = nanoClock.getAsLong() + timeoutMillis * 1_000_000L;
    timer = timers.after(timeoutMillis, this::fire);
  }

  /**
   * Ends the wait for the connection. If the timer fired late, this daemon was delayed and may not
   * have seen the connection yet, so the timeout starts again, {@link #MAX_RESTARTS} times at most.
   */
  private void fire() {
    if (ended) {
      return;
    }
    boolean late = nanoClock.getAsLong() - timeoutAtNanos > MAX_TIMER_DELAY_NANOS;
    if (late && restarts < MAX_RESTARTS) {
      restarts++;
      start();
    } else {
      onTimeout.run();
    }
  }

  void end() {
    ended = true;
    ScheduledFuture<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }
}
