package org.fawnvale.serving.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * Tells from the pauses of streams whether the group behind them stands still. The longest pause of
 * a group that moves is a pass that reads as many prompts as fit; how much of that occurs is
 * learned for each model from the pauses that were seen.
 */
public final class StallDetector {

  private static final double PASSES = 2.5;
  private static final double LEARNED_FACTOR = 1.25;
  private static final double MARGIN_MILLIS = 40;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final long EPOCH_NANOS = 8_000_000_000L;
  private static final int ENOUGH = 200;

  /**
   * What a first event may take longer than a later one: a full pass of the engine reads prompts
   * for a quarter of a second, and the request may have come just after one began.
   */
  private static final long FIRST_EVENT_NANOS = 500_000_000L;

  private final Map<String, Pauses> pauses = new HashMap<>();

  /** The longest pauses of the present span of time and of the one before it. */
  private static final class Pauses {
    double longest;
    double longestBefore;
    long spanBegan;
    int count;
  }

  /**
   * Learns from a pause between two events of one stream.
   *
   * @param model the name of the model
   * @param pauseNanos the pause
   * @param nowNanos the steady time
   */
  public void saw(String model, long pauseNanos, long nowNanos) {
    Pauses seen = pauses.computeIfAbsent(model, name -> new Pauses());
    if (nowNanos - seen.spanBegan > EPOCH_NANOS) {
      seen.longestBefore = seen.longest;
      seen.longest = 0;
      seen.spanBegan = nowNanos;
    }
    seen.longest = Math.max(seen.longest, pauseNanos / NANOS_PER_MILLI);
    seen.count++;
  }

  /**
   * The longest pause in which a group that moves shows an event, in nanoseconds.
   *
   * @param engine the arithmetic of the engines
   * @param model the group's model
   * @param inFlight requests of all daemons at the group
   * @return the pause beyond which the group is suspect
   */
  public long patienceNanos(EngineSpec engine, ModelSpec model, int inFlight) {
    double step = engine.stepMillis() + engine.perSequenceMillis() * inFlight;
    double pass = step * engine.stride() * model.pace();
    double reading =
        engine.stride() * engine.chunk() * 1000.0 / engine.readTokensPerSecond() * model.pace();
    double most = pass + reading + MARGIN_MILLIS;
    double least = Math.min(most, PASSES * pass + MARGIN_MILLIS);
    Pauses seen = pauses.get(model.name());
    double wanted = most;
    if (seen != null && seen.count >= ENOUGH) {
      wanted = LEARNED_FACTOR * Math.max(seen.longest, seen.longestBefore) + MARGIN_MILLIS;
    }
    return (long) (Math.max(least, Math.min(most, wanted)) * NANOS_PER_MILLI);
  }

  /**
   * Judges an upstream.
   *
   * @param state what was seen of it
   * @param patienceNanos the longest pause of a group that moves
   * @param nowNanos the steady time
   * @return true when requests are there and none has moved for too long
   */
  public static boolean stalled(UpstreamState state, long patienceNanos, long nowNanos) {
    long silent = nowNanos - state.lastProgressNanos();
    if (state.writing() > 0) {
      return silent > patienceNanos;
    }
    return state.inFlight() > 0 && silent > FIRST_EVENT_NANOS + patienceNanos;
  }
}
