package org.fawnvale.serving.core.reach;

/**
 * What the silence of upstreams shows whose connections stand. A daemon's streams, its path and the
 * leader go by the same rule.
 */
public final class SilenceEvidence {

  /**
   * How long a sound upstream may be silent, in nanoseconds. A process that is alive goes on well
   * before; its entry in the store lapses a little later.
   */
  public static final long MAX_PAUSE_NANOS = 3_000_000_000L;

  /**
   * The share of upstreams in use that is heard at least where single ones have failed. Four in ten
   * of the groups of four nodes go on when each sixth node fails; one or two in ten do when six in
   * ten nodes pause.
   */
  private static final double LEAST_SHARE_HEARD = 1.0 / 3;

  private SilenceEvidence() {}

  /**
   * Tells whether silent upstreams share their silence with most others. Its reason then lies
   * elsewhere than in a single one.
   *
   * @param heard upstreams in use that are not silent
   * @param inUse all upstreams in use, the silent ones included
   * @return false also if only one is in use, so that nothing can be told
   */
  public static boolean isShared(int heard, int inUse) {
    return inUse > 1 && heard < LEAST_SHARE_HEARD * inUse;
  }
}
