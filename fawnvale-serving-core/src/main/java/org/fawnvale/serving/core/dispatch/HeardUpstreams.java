package org.fawnvale.serving.core.dispatch;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.reach.SilenceEvidence;

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
   * Tells whether the silent upstream shares its silence with most others.
   *
   * @return false also if no other upstream is in use, so that nothing can be told
   */
  public boolean isSilenceShared() {
    return SilenceEvidence.isShared(heard, inUse + 1);
  }

  /**
   * Counts the upstreams that were heard.
   *
   * @param others what was observed of the other upstreams, by node id
   * @param silent what was observed of the silent one
   * @param nowNanos the monotonic time
   * @return the counts
   */
  public static HeardUpstreams count(
      Map<String, UpstreamState> others, UpstreamState silent, long nowNanos) {
    int heard = 0;
    int inUse = 0;
    for (UpstreamState other : others.values()) {
      boolean isHeard = isHeard(other, silent, nowNanos);
      heard += isHeard ? 1 : 0;
      inUse += isHeard || other.includedStreaming() > 0 ? 1 : 0;
    }
    return new HeardUpstreams(heard, inUse);
  }

  /**
   * Returns the other upstreams that were not heard, so that nothing shows that they would go on
   * with the requests of the silent one.
   *
   * @param others what was observed of the other upstreams, by node id
   * @param silent what was observed of the silent one
   * @param nowNanos the monotonic time
   * @return their ids
   */
  public static Set<String> unheard(
      Map<String, UpstreamState> others, UpstreamState silent, long nowNanos) {
    Set<String> unheard = new HashSet<>();
    others.forEach(
        (id, other) -> {
          if (!isHeard(other, silent, nowNanos)) {
            unheard.add(id);
          }
        });
    return unheard;
  }

  private static boolean isHeard(UpstreamState other, UpstreamState silent, long nowNanos) {
    return other.progressedWithin((nowNanos - silent.lastProgressNanos()) / 2, nowNanos);
  }
}
