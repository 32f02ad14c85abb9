package org.fawnvale.serving.core.formation;

import org.fawnvale.serving.core.model.Membership;
import org.jspecify.annotations.Nullable;

/**
 * Identity of a group. A name is never used for two lists of members, and epochs increase. The name
 * ends with the id of the head, so that any leader can derive which node may serve for the group.
 */
public record GroupKey(String name, long epoch) {

  private static final char HEAD_MARK = '~';

  /**
   * Creates the key of a new group.
   *
   * @param prefix prefix of the name; must not be used twice
   * @param head the id of the head
   * @return its identity
   */
  static GroupKey of(String prefix, String head, long epoch) {
    return new GroupKey(prefix + HEAD_MARK + head, epoch);
  }

  /**
   * Returns the id of the head.
   *
   * @return the id; null when the name doesn't contain one
   */
  public @Nullable String head() {
    int mark = name.lastIndexOf(HEAD_MARK);
    return mark < 0 ? null : name.substring(mark + 1);
  }

  /**
   * Identifies the head within this group.
   *
   * @return {@code ID@EPOCH}
   */
  public String headAtEpoch() {
    return head() + "@" + epoch;
  }

  /**
   * Tells whether a membership is of this group.
   *
   * @param membership a node's membership; null when it has none
   * @return true when name and epoch are equal
   */
  boolean matches(@Nullable Membership membership) {
    return membership != null && membership.group().equals(name) && membership.epoch() == epoch;
  }

  // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof GroupKey that && epoch == that.epoch && name.equals(that.name);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + Long.hashCode(epoch);
  }
}
