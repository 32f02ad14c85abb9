package org.fawnvale.serving.core.watch;

/**
 * Decides what to do with a response of the store, by the era that it belongs to. The store begins
 * a new era when it is restored from a backup. A response of a later era than that of the local
 * copy invalidates all known positions: a list of changes since an old position may be incomplete,
 * so all objects are listed again. A response of an earlier era was sent before the restore and
 * arrived late; it is discarded.
 *
 * <p>Not thread-safe.
 */
public final class EraFilter {

  /**
   * How long responses of an earlier era are treated as delayed ones. If the store sends nothing
   * else for this time, it was set up again, and its responses apply.
   */
  public static final long STALE_RESPONSE_NANOS = 5_000_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  private long staleSinceNanos = NEVER;

  /** What to do with a response. */
  public enum Action {
    /** Apply the response to the local copy. */
    APPLY,
    /** Ignore the response and list all objects again. */
    RELIST,
    /** Ignore the response. */
    DISCARD
  }

  /**
   * Evaluates a response.
   *
   * @param current the position of the local copy
   * @param requested the position since which changes were requested; {@link StorePosition#NONE}
   *     for a full list. The local copy may have moved on meanwhile, by a copy from a peer.
   * @param nowNanos the monotonic time
   */
  public Action evaluate(
      StoreEra responseEra, StorePosition current, StorePosition requested, long nowNanos) {
    boolean isList = !requested.isKnown();
    if (!current.isKnown() || current.era().equals(responseEra)) {
      staleSinceNanos = NEVER;
      return isList || requested.era().equals(responseEra) ? Action.APPLY : Action.RELIST;
    }
    if (current.era().isAfter(responseEra) && mayBeDelayed(nowNanos)) {
      return Action.DISCARD;
    }
    staleSinceNanos = responseEra.isAfter(current.era()) ? NEVER : staleSinceNanos;
    return isList ? Action.APPLY : Action.RELIST;
  }

  private boolean mayBeDelayed(long nowNanos) {
    staleSinceNanos = staleSinceNanos == NEVER ? nowNanos : staleSinceNanos;
    return nowNanos - staleSinceNanos < STALE_RESPONSE_NANOS;
  }
}
