package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * Tells from the pauses of streams whether the group behind them stands still. The longest pause of
 * a group that moves is a pass that reads as many prompts as fit; a shorter patience, learned from
 * the pauses that occur, took groups apart that had just been given many prompts at once, as after
 * each loss elsewhere.
 */
public final class StallDetector {

  /** Delays on the way, and a wake-up of a busy daemon, in milliseconds. */
  private static final double MARGIN_MILLIS = 40;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * How long a daemon that has started does not judge, in nanoseconds. Its code is not compiled yet
   * and it reads events late: after a loss of power 78 daemons, busy with 750 requests that had
   * waited for them, held 12 of 30 heads that moved to stand still.
   */
  private static final long WARM_UP_NANOS = 3_000_000_000L;

  private StallDetector() {}

  /**
   * Tells whether a daemon reads events soon enough to judge by their pauses.
   *
   * @param ageNanos how long ago it has started
   * @return false shortly after its start
   */
  public static boolean isWarmedUp(long ageNanos) {
    return ageNanos >= WARM_UP_NANOS;
  }

  /**
   * The longest pause in which a group that moves shows an event, in nanoseconds.
   *
   * @param engine the arithmetic of the engines
   * @param model the group's model
   * @param inFlight requests of all daemons at the group
   * @return the pause beyond which the group is suspect
   */
  public static long timeoutNanos(EngineSpec engine, ModelSpec model, int inFlight) {
    int writers = Math.min(inFlight, engine.slots());
    double pass = EngineTimes.passMillis(engine, model, writers);
    double reading = EngineTimes.maxPrefillMillis(engine, model);
    return (long) ((pass + reading + MARGIN_MILLIS) * NANOS_PER_MILLI);
  }

  /**
   * Judges an upstream by streams that have begun there. A first event may take long at a head that
   * many daemons have just sent to, so waiting for one counts only where others tell more.
   *
   * @param state what was seen of it
   * @param timeoutNanos the longest silence of a group that moves
   * @param doubted whether another daemon, with streams there, holds it to stand still, or it is
   *     out of sight
   * @param nowNanos the steady time
   * @return true when requests are there and none has moved for too long
   */
  public static boolean isStalled(
      UpstreamState state, long timeoutNanos, boolean doubted, long nowNanos) {
    boolean tells = state.streaming() > 0 || doubted && state.inFlight() > 0;
    return tells && nowNanos - state.lastProgressNanos() > timeoutNanos;
  }
}
