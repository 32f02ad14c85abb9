package org.fawnvale.serving.core.watch;

/**
 * What an answer of the store is good for, by the history in which it was given. One of a later
 * history than the copy shows ends what is known of places: changes since a place of the former one
 * may leave some out, so all is listed anew. One of an earlier history was given before the store
 * went back and comes late. What was known goes on to hold then: it was in force, and the answer is
 * older.
 */
public final class EraFilter {

  /**
   * How long answers of an earlier history are held to be late ones. A store that tells nothing
   * else for so long has been set up anew, and what it shows holds.
   */
  public static final long STALE_RESPONSE_NANOS = 5_000_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  private long staleSinceNanos = NEVER;

  /** What is to be done with an answer. */
  public enum Action {
    /** It is taken in. */
    APPLY,
    /** All is listed anew. */
    RELIST,
    /** It changes nothing. */
    DISCARD
  }

  /**
   * Judges an answer.
   *
   * @param told the era in which it was given
   * @param shown the place that the copy shows
   * @param asked the place since which changes were asked for, which the copy may have left since:
   *     another daemon's may have taken its place; {@link StorePosition#NONE} for a list, which is
   *     whole by itself
   * @param nowNanos the steady time
   * @return what is to be done with it
   */
  public Action evaluate(StoreEra told, StorePosition shown, StorePosition asked, long nowNanos) {
    boolean isList = !asked.isKnown();
    if (!shown.isKnown() || shown.era().equals(told)) {
      staleSinceNanos = NEVER;
      return isList || asked.era().equals(told) ? Action.APPLY : Action.RELIST;
    }
    if (shown.era().isAfter(told) && mayBeDelayed(nowNanos)) {
      return Action.DISCARD;
    }
    staleSinceNanos = told.isAfter(shown.era()) ? NEVER : staleSinceNanos;
    return isList ? Action.APPLY : Action.RELIST;
  }

  private boolean mayBeDelayed(long nowNanos) {
    staleSinceNanos = staleSinceNanos == NEVER ? nowNanos : staleSinceNanos;
    return nowNanos - staleSinceNanos < STALE_RESPONSE_NANOS;
  }
}
