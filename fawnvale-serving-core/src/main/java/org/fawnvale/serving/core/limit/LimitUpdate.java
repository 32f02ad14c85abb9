package org.fawnvale.serving.core.limit;

import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * The limit of one node, as daemons send it to each other.
 *
 * @param incarnation the incarnation of the node
 * @param version counts the known changes of this incarnation's limit; an update with a higher
 *     version replaces one with a lower version
 * @param perSecond the requests per second that the node accepts from all daemons together; {@link
 *     #UNLIMITED} when it advertises no limit any more
 * @param ageMillis the time since a daemon last received a response that confirms the limit, in
 *     milliseconds
 */
public record LimitUpdate(
    NodeIncarnation incarnation, int version, double perSecond, long ageMillis) {

  /** The value of {@code perSecond} for a node that advertises no limit. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** Returns the update of a daemon that has received no limit of a node; it changes nothing. */
  public static LimitUpdate nothingKnown(NodeIncarnation incarnation) {
    return new LimitUpdate(incarnation, KnownLimits.UNKNOWN_VERSION, UNLIMITED, 0);
  }

  /** Tells whether the node advertises no limit any more. */
  public boolean isUnlimited() {
    return perSecond == UNLIMITED;
  }
}
