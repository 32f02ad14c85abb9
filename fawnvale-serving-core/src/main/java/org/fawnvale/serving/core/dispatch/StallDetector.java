package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;

/** Tells from the pauses of streams whether the group behind them stands still. */
public final class StallDetector {

  private static final double PASSES = 2.5;
  private static final double MARGIN_MILLIS = 60;
  private static final double NANOS_PER_MILLI = 1e6;

  private StallDetector() {}

  /**
   * The longest pause in which a group that moves shows an event, in nanoseconds.
   *
   * @param engine the arithmetic of the engines
   * @param model the group's model
   * @param inFlight requests of all daemons at the group
   * @return the pause beyond which the group is suspect
   */
  public static long patienceNanos(EngineSpec engine, ModelSpec model, int inFlight) {
    double step = engine.stepMillis() + engine.perSequenceMillis() * inFlight;
    double pass = step * engine.stride() * model.pace();
    return (long) ((PASSES * pass + MARGIN_MILLIS) * NANOS_PER_MILLI);
  }

  /**
   * Judges an upstream.
   *
   * @param state what was seen of it
   * @param patienceNanos the longest pause of a group that moves
   * @param nowNanos the steady time
   * @return true when streams have begun there and none has moved for too long
   */
  public static boolean stalled(UpstreamState state, long patienceNanos, long nowNanos) {
    return state.writing() > 0 && nowNanos - state.lastProgressNanos() > patienceNanos;
  }
}
