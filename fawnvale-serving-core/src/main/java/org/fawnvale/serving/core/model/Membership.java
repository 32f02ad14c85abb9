package org.fawnvale.serving.core.model;

/**
 * A node's membership of a group.
 *
 * @param group the name of the group
 * @param epoch the epoch of the group
 * @param rank the node's rank within the group; the head has rank 0
 * @param state the node's state
 */
public record Membership(String group, long epoch, int rank, MemberState state) {

  /**
   * Tells whether another membership is of the same group and epoch.
   *
   * @param other the other membership
   * @return true when group and epoch are equal
   */
  public boolean sameGroup(Membership other) {
    return group.equals(other.group) && epoch == other.epoch;
  }
}
