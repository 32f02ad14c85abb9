package org.fawnvale.serving.core.admission;

/**
 * Computes the Retry-After time of callers that are refused while not all requests for their model
 * are admitted: after the predicted end of the burst, less urgent callers later, and spread so that
 * they do not return at the same time. Not thread-safe.
 */
public final class RefusalTimes {

  /** How long a burst usually lasts, in milliseconds: the middle of 3 to 7 s. */
  private static final double USUAL_BURST_MILLIS = 5_000;

  /**
   * The least time until the predicted end, in milliseconds: returning callers are admitted up to
   * twice the slots, and a head with twice its slots in flight needs about two seconds to get back
   * to its slots. With less time, callers refused at the end of a burst return together with those
   * refused earlier, and find every head full.
   */
  private static final double MIN_REST_MILLIS = 1_900;

  /** By how much each step of urgency below the admitted ones returns later, in milliseconds. */
  private static final double STEP_MILLIS = 150;

  /**
   * The longest wait as a share of the caller's remaining time. Callers ignore a Retry-After of
   * more than a third of it; the value leaves a margin.
   */
  private static final double MAX_SHARE_OF_REMAINING = 0.32;

  /** The share of the wait over which returning callers are spread. */
  private static final double SPREAD = 0.25;

  /** Multiples of the golden ratio modulo 1 are spread evenly over the interval from 0 to 1. */
  private static final double GOLDEN_RATIO = 0.618_033_988_75;

  private int refusals;

  /**
   * Returns the Retry-After time of the next refused caller.
   *
   * @param remainingMillis how much longer the caller would wait for its answer, in milliseconds
   * @param burstMillis how long requests have been refused by urgency, in milliseconds
   * @param urgency the urgency of the caller, 0 being most urgent
   * @param level the level of its model, as {@link AdmissionLevel#level}
   * @return the time from now, in milliseconds; 0 or more
   */
  public int nextMillis(long remainingMillis, long burstMillis, int urgency, double level) {
    refusals++;
    double point = refusals * GOLDEN_RATIO - Math.floor(refusals * GOLDEN_RATIO);
    double rest = Math.max(MIN_REST_MILLIS, USUAL_BURST_MILLIS - burstMillis);
    double later = STEP_MILLIS * Math.max(0, urgency - Math.floor(level));
    double longest = MAX_SHARE_OF_REMAINING * Math.max(0, remainingMillis);
    double spread = Math.min(rest, longest) * SPREAD;
    return (int) Math.max(0, Math.min(longest, rest + later + spread) - spread * point);
  }
}
