package org.fawnvale.serving.core.limit;

import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * What one daemon tells others of the limit that a node names.
 *
 * @param life the node's life
 * @param stamp counts the changes of this life's limit that are known; of two notes the one with
 *     the higher stamp was made knowing of the other
 * @param perSecond the requests a second that the node takes from all daemons together; {@link
 *     #UNLIMITED} when it names no limit any more
 * @param ageMillis how long ago a daemon last got an answer that shows it, in milliseconds
 */
public record LimitUpdate(
    NodeIncarnation incarnation, int version, double perSecond, long ageMillis) {

  /** The limit of a node that names none any more. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /**
   * Tells whether the node takes as much as there is.
   *
   * @return true when it names no limit any more
   */
  public boolean isUnlimited() {
    return perSecond == UNLIMITED;
  }
}
