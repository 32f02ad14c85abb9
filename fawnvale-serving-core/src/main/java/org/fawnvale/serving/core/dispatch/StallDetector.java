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

  /** What an engine does before it reads a prompt: 120 ms were seen on idle ones. */
  private static final double BEFORE_READING_MILLIS = 150;

  /** Prompts ahead may be longer than usual ones. */
  private static final double LONG_PROMPTS = 2;

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
   * What a first event may take beyond that: the prompts of all requests there are read before.
   *
   * @param engine the arithmetic of the engines
   * @param model the group's model
   * @param inFlight requests of all daemons at the group
   * @return the time, in nanoseconds
   */
  public static long firstEventNanos(EngineSpec engine, ModelSpec model, int inFlight) {
    int prompts = Math.min(Math.max(1, inFlight), engine.slots());
    double usual = EngineTimes.readMillis(engine, model, engine.usual().promptTokens());
    return (long) ((BEFORE_READING_MILLIS + LONG_PROMPTS * usual * prompts) * NANOS_PER_MILLI);
  }

  /**
   * Judges an upstream.
   *
   * @param state what was seen of it
   * @param patience the longest silence of a group that moves
   * @param shared whether another daemon, with streams there, holds it to stand still
   * @param nowNanos the steady time
   * @return true when requests are there and none has moved for too long
   */
  public static boolean stalled(
      UpstreamState state, Patience patience, boolean shared, long nowNanos) {
    long silent = nowNanos - state.lastProgressNanos();
    boolean awaitsFirst = state.writing() == 0 && !shared;
    long longest = patience.pauseNanos() + (awaitsFirst ? patience.firstNanos() : 0);
    return state.inFlight() > 0 && silent > longest;
  }

  /**
   * The longest silence of a group that moves.
   *
   * @param pauseNanos between two events of its streams
   * @param firstNanos beyond that before the first event of a stream
   */
  public record Patience(long pauseNanos, long firstNanos) {}
}
