package org.fawnvale.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.wire.Identity;

/**
 * Settings, keys, identity, clocks and executors that all services of a daemon share.
 *
 * @param identity the name, data centre and incarnation of the daemon
 * @param nanoClock monotonic clock, nanoseconds
 * @param wallClock wall clock, milliseconds since the epoch
 * @param executor runs tasks that may block
 * @param scheduler runs delayed and periodic tasks, which must not block
 */
public record Context(
    DaemonSettings settings,
    Keys keys,
    Identity identity,
    LongSupplier nanoClock,
    LongSupplier wallClock,
    ExecutorService executor,
    ScheduledExecutorService scheduler) {

  /**
   * Returns the current time of the monotonic clock.
   *
   * @return nanoseconds
   */
  public long nowNanos() {
    return nanoClock.getAsLong();
  }

  /**
   * Returns the daemon's name and incarnation, which differ for each start of a daemon.
   *
   * @return {@code NAME/INCARNATION}
   */
  public String holder() {
    return identity.daemon() + "/" + identity.incarnation();
  }
}
