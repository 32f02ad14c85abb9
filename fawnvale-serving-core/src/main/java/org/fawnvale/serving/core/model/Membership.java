package org.fawnvale.serving.core.model;

/**
 * A node's place in a group.
 *
 * @param group the name of the group
 * @param epoch the epoch of the group
 * @param rank its place; the head has rank 0
 * @param state its state
 */
public record Membership(String group, long epoch, int rank, MemberState state) {

  /**
   * Tells whether this is a place in the same group and epoch.
   *
   * @param other another place
   * @return true when group and epoch are equal
   */
  public boolean sameGroup(Membership other) {
    return group.equals(other.group) && epoch == other.epoch;
  }
}
