package org.fawnvale.serving.core.watch;

import org.jspecify.annotations.Nullable;

/**
 * Decides when a daemon that has just started fetches a copy from the peer that advertises a newer
 * one, without the delays of {@link CopyDelays}, whose timers may run a second late.
 *
 * <p>The first advertisement starts the time in which the store or an earlier fetch may still
 * deliver the change. After it, a fetch is due from any peer, also from one of another data centre.
 */
public final class StartupFetches {

  private final StartupPeriod period;
  private @Nullable StorePosition outdated;
  private long dueNanos;

  /**
   * Creates the decision for one kind of objects.
   *
   * @param period when fetches may be due
   */
  public StartupFetches(StartupPeriod period) {
    this.period = period;
  }

  /**
   * Returns whether to fetch now; called for each advertisement of a newer copy.
   *
   * @param own the position of the newest change in this daemon's copy
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true when peers have advertised newer copies than this one for {@link
   *     StartupPeriod#ANSWER_NANOS}, at most once in that time
   */
  public boolean isDue(StorePosition own, long nowNanos) {
    if (!period.includes(nowNanos)) {
      return false;
    }
    boolean isFirst = !own.equals(outdated);
    boolean isDue = !isFirst && nowNanos - dueNanos >= 0;
    if (isFirst || isDue) {
      outdated = own;
      dueNanos = nowNanos + StartupPeriod.ANSWER_NANOS;
    }
    return isDue;
  }
}
