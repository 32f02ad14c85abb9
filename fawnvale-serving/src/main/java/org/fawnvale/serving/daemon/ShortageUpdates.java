package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.peer.ProcessorShortage;

/**
 * Watches for a shortage of processor time. While {@code policy.shortage} is on, reports it as a
 * metric and log lines.
 */
final class ShortageUpdates {

  private static final Logger LOG = LogManager.getLogger("shortage");

  private final boolean enabled;
  private final ProcessorShortage shortage;

  /**
   * Creates the updates.
   *
   * @param enabled whether {@code policy.shortage} is on
   * @param registry receives the metric
   */
  ShortageUpdates(boolean enabled, ProcessorShortage shortage, MeterRegistry registry) {
    this.enabled = enabled;
    this.shortage = shortage;
    if (enabled) {
      registry.gauge("fawnvale.shortage", shortage, known -> known.isShort() ? 1 : 0);
    }
  }

  /**
   * Records a regular tick.
   *
   * @param nowNanos the monotonic time
   * @return whether a shortage began or ended
   */
  boolean tick(long nowNanos) {
    boolean before = shortage.isShort();
    shortage.tick(nowNanos);
    if (!enabled || shortage.isShort() == before) {
      return false;
    }
    LOG.info(
        "late_ms={} outcome={}",
        TimeUnit.NANOSECONDS.toMillis((long) shortage.meanLateNanos()),
        before ? "normal" : "short");
    return true;
  }

  /** Returns whether this daemon is short of processor time, also while the policy is off. */
  boolean isLate() {
    return shortage.isShort();
  }

  /** Returns whether this daemon is short of processor time; false while the policy is off. */
  boolean isShort() {
    return enabled && shortage.isShort();
  }

  /** Returns how long the shortage has lasted, in nanoseconds; 0 without one. */
  long shortForNanos() {
    return enabled ? shortage.shortForNanos() : 0;
  }
}
