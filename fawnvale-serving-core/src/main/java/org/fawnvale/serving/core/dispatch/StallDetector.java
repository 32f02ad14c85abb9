package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * Decides from the pauses of streams whether the group behind them has stalled. The timeout is the
 * longest pause of a working group: one pass that prefills as many prompts as fit. A timeout
 * derived from observed pauses would be shorter and would dissolve groups that have just received
 * many prompts, for example after the loss of another group.
 */
public final class StallDetector {

  /** Allowance for network delay and for the wake-up of a busy daemon, in milliseconds. */
  private static final double MARGIN_MILLIS = 40;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * How long after its start a daemon does not judge upstreams, in nanoseconds. Until its code is
   * compiled it reads events late and would suspect working heads, above all when many waiting
   * requests arrive at once: after a loss of power, 78 daemons suspected 12 of 30 working heads.
   */
  private static final long WARM_UP_NANOS = 3_000_000_000L;

  private StallDetector() {}

  /**
   * Tells whether a daemon reads events promptly enough to judge upstreams by their pauses.
   *
   * @param ageNanos how long ago the daemon started, in nanoseconds
   * @return false shortly after its start
   */
  public static boolean isWarmedUp(long ageNanos) {
    return ageNanos >= WARM_UP_NANOS;
  }

  /**
   * Returns the longest pause between two events of a working group.
   *
   * @param engine the performance parameters of the engines
   * @param model the group's model
   * @param inFlight requests of all daemons at the group
   * @return the pause in nanoseconds beyond which the group is suspect
   */
  public static long timeoutNanos(EngineSpec engine, ModelSpec model, int inFlight) {
    return timeoutNanos(engine, model, inFlight, 1);
  }

  /**
   * Returns the longest pause between two events of a working group whose pace was observed. The
   * pace expires two seconds after the last event, so it delays the detection of a stall by no more
   * than that.
   *
   * @param engine the performance parameters of the engines
   * @param model the group's model
   * @param inFlight requests of all daemons at the group
   * @param pace the factor by which the group is slower than published; 1 when unknown
   * @return the pause in nanoseconds beyond which the group is suspect
   */
  public static long timeoutNanos(EngineSpec engine, ModelSpec model, int inFlight, double pace) {
    int sequences = Math.min(inFlight, engine.slots());
    double pass = EngineTimes.passMillis(engine, model, sequences);
    double prefill = EngineTimes.maxPrefillMillis(engine, model);
    return (long) ((pace * (pass + prefill) + MARGIN_MILLIS) * NANOS_PER_MILLI);
  }

  /**
   * Tells whether an upstream has stalled. While none of its responses to this daemon has started,
   * it counts as stalled only with {@code suspectedElsewhere}, since a head to which many daemons
   * have just sent requests may take long to send a first event. Streams that this daemon reads
   * only as slowly as their callers do not count.
   *
   * @param state what this daemon has observed of the upstream
   * @param timeoutNanos the longest pause of a working group, in nanoseconds
   * @param suspectedElsewhere whether another daemon with streams there reports a stall, or the
   *     upstream's data centre is unreachable
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true when requests are in flight and the upstream has made no progress within the
   *     timeout
   */
  public static boolean isStalled(
      UpstreamState state, long timeoutNanos, boolean suspectedElsewhere, long nowNanos) {
    boolean isSignificant =
        state.includedStreaming() > 0 || suspectedElsewhere && state.includedInFlight() > 0;
    return isSignificant && nowNanos - state.lastProgressNanos() > timeoutNanos;
  }
}
