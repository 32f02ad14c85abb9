package org.fawnvale.serving.core.watch;

/**
 * Whether the store was away for all, so that entries of living nodes may have lapsed and will come
 * back. An entry lapses through the store's absence only when its node could not write three
 * heartbeats; it goes at once when its node leaves. A store that only this daemon has lost goes on
 * to take heartbeats, so an entry that has gone meanwhile has gone for good.
 */
public final class StoreOutages {

  /** Three heartbeats of 1.2 s, of which the first may have been due just before the outage. */
  private static final long MIN_EXPIRY_NANOS = 2_400_000_000L;

  /** Entries that lapsed are found missing with the first answers after an outage. */
  private static final long RECOVERY_NANOS = 2_000_000_000L;

  /**
   * Parts of an outage during which others had the store. Who is cut off hears at once that others
   * have it; in an outage of all they lose it soon after, and find it again up to a second earlier.
   */
  private static final double LOCAL_OUTAGE_RATIO = 0.75;

  private long lastResponseNanos;
  private int observations;
  private int observationsWithOthers;
  private boolean unavailable;
  private boolean wasFleetWide;
  private long returnedNanos = Long.MIN_VALUE / 2;

  /**
   * Takes note of how it stands; to be called regularly.
   *
   * @param answersHere whether the store answers this daemon
   * @param answersOthers whether it answers any other daemon, by their own word
   * @param lastAnswerNanos the steady time of its last answer here
   * @param nowNanos the steady time
   */
  public void observe(
      boolean answersHere, boolean answersOthers, long lastAnswerNanos, long nowNanos) {
    if (!answersHere) {
      if (!unavailable) {
        begin(lastAnswerNanos);
      }
      observations++;
      observationsWithOthers += answersOthers ? 1 : 0;
    } else if (unavailable) {
      wasFleetWide = isFleetWide(nowNanos);
      returnedNanos = nowNanos;
      unavailable = false;
    }
  }

  private void begin(long lastAnswerNanos) {
    unavailable = true;
    lastResponseNanos = lastAnswerNanos;
    observations = 0;
    observationsWithOthers = 0;
  }

  private boolean isFleetWide(long nowNanos) {
    boolean longEnough = nowNanos - lastResponseNanos >= MIN_EXPIRY_NANOS;
    return longEnough && observationsWithOthers < LOCAL_OUTAGE_RATIO * observations;
  }

  /**
   * Tells whether an entry that is found missing now may have lapsed though its node lives.
   *
   * @param nowNanos the steady time
   * @return false when it has gone because its node left or died
   */
  public boolean mayHaveExpired(long nowNanos) {
    return unavailable
        ? isFleetWide(nowNanos)
        : wasFleetWide && nowNanos - returnedNanos < RECOVERY_NANOS;
  }
}
