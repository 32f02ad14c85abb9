package org.fawnvale.serving.core.formation;

import java.util.Set;

/**
 * The heads that daemons suspect to be stalled.
 *
 * @param confirmed heads that the observations of all daemons confirm as stalled, as {@code
 *     ID@EPOCH}; see {@link StallEvidence}
 * @param suspected heads that any daemon suspects, as {@code ID@EPOCH}; the confirmed ones belong
 *     to them whether they are named or not
 * @param used ids of the heads at which any daemon has requests; the suspected ones belong to them
 *     whether they are named or not
 */
public record SuspectedHeads(Set<String> confirmed, Set<String> suspected, Set<String> used) {

  /** No head is suspected. */
  public static final SuspectedHeads NONE = confirmed(Set.of());

  /**
   * Creates the suspicions of heads that are confirmed as soon as they are suspected.
   *
   * @param heads the heads, as {@code ID@EPOCH}
   */
  public static SuspectedHeads confirmed(Set<String> heads) {
    return new SuspectedHeads(heads, heads, Set.of());
  }
}
