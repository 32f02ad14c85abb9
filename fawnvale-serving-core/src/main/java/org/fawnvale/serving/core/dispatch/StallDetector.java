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
   * What a first event may take longer than a later one: a full pass of the engine reads prompts
   * for a quarter of a second, and the request may have come just after one began.
   */
  private static final long FIRST_EVENT_NANOS = 500_000_000L;

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
    int writers = Math.min(inFlight, engine.slots());
    double pass = EngineTimes.passMillis(engine, model, writers);
    double reading = EngineTimes.longestReadMillis(engine, model);
    return (long) ((pass + reading + MARGIN_MILLIS) * NANOS_PER_MILLI);
  }

  /**
   * Judges an upstream.
   *
   * @param state what was seen of it
   * @param patienceNanos the longest pause of a group that moves
   * @param shared whether another daemon, with streams there, holds it to stand still
   * @param nowNanos the steady time
   * @return true when requests are there and none has moved for too long
   */
  public static boolean stalled(
      UpstreamState state, long patienceNanos, boolean shared, long nowNanos) {
    long silent = nowNanos - state.lastProgressNanos();
    boolean awaitsFirst = state.writing() == 0 && !shared;
    return state.inFlight() > 0 && silent > patienceNanos + (awaitsFirst ? FIRST_EVENT_NANOS : 0);
  }
}
