package org.fawnvale.serving.core.dispatch;

import java.util.Collection;

/**
 * How many other upstreams a daemon has heard while one of them is silent. If hardly any was heard,
 * they share the silence, and its reason lies elsewhere than in that one upstream.
 *
 * @param heard upstreams that have sent something in the later half of the silence; in the earlier
 *     half, all of them may have sent something just before a silence that they share
 * @param inUse those, and the ones whose streams this daemon waits for
 */
public record HeardUpstreams(int heard, int inUse) {

  /**
   * Counts the upstreams that were heard.
   *
   * @param others what was observed of the other upstreams
   * @param silent what was observed of the silent one
   * @param nowNanos the monotonic time
   * @return the counts
   */
  static HeardUpstreams count(
      Collection<UpstreamState> others, UpstreamState silent, long nowNanos) {
    int heard = 0;
    int inUse = 0;
    for (UpstreamState other : others) {
      boolean isHeard = isHeard(other, silent, nowNanos);
      heard += isHeard ? 1 : 0;
      inUse += isHeard || other.includedStreaming() > 0 ? 1 : 0;
    }
    return new HeardUpstreams(heard, inUse);
  }

  /**
   * Tells whether an upstream has sent something in the later half of the silence of another one.
   *
   * @param other what was observed of the upstream
   * @param silent what was observed of the silent one
   * @param nowNanos the monotonic time
   * @return false also if it has sent nothing yet
   */
  static boolean isHeard(UpstreamState other, UpstreamState silent, long nowNanos) {
    return other.progressedWithin((nowNanos - silent.lastProgressNanos()) / 2, nowNanos);
  }
}
