package org.fawnvale.serving.core.dispatch;

/**
 * When a caller that is refused may come back: once room is likely to be there, spread so that
 * those refused together don't meet again.
 *
 * <p>Answers a load that exceeds what all upstreams carry for some seconds. Callers that came back
 * after 0.4 to 1.4 s came back into the same rush and made it longer. Played in simulated time
 * (RetryAfterPolicyTest: 78 daemons, 12 heads, 150 requests a second and 330 for three seconds):
 * answers in time for 0.705 of the callers then, for 0.716 with the times here; under milder loads
 * the same.
 */
public final class RetryAfterPolicy {

  /**
   * A group that lost a member serves again after about this time: 0.2 s until the loss is seen,
   * 1.6 s to join from the hosts. In milliseconds.
   */
  private static final int REPAIR_MILLIS = 1_900;

  /** Callers heed a time to come back up to a third of what remains to them; a little is kept. */
  private static final double HEEDED = 0.32;

  /** The part of the time over which returns are spread: half a second of the whole one. */
  private static final double SPREAD = 0.25;

  private static final double GOLDEN_RATIO = 0.618_033_988_75;

  private int refusals;

  /**
   * Tells the next refused caller when to come back.
   *
   * @param patienceMillis how much longer it would wait, in milliseconds
   * @param restMillis how long it is until the first upstream ends its rest, in milliseconds; 0
   *     when none rests
   * @return the time from now, in milliseconds
   */
  public int nextMillis(long patienceMillis, long restMillis) {
    refusals++;
    double point = refusals * GOLDEN_RATIO - Math.floor(refusals * GOLDEN_RATIO);
    double heeded = HEEDED * Math.max(0, patienceMillis);
    if (restMillis > 0 && restMillis < heeded) {
      return (int) Math.ceil(Math.min(heeded, restMillis + SPREAD * REPAIR_MILLIS * point));
    }
    double latest = Math.min(REPAIR_MILLIS, heeded);
    return (int) (latest * (1 - SPREAD * point));
  }
}
