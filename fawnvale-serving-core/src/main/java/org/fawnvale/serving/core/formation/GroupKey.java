package org.fawnvale.serving.core.formation;

import org.fawnvale.serving.core.model.Membership;
import org.jspecify.annotations.Nullable;

/**
 * Identity of a group: a name is never used for two lists of members, and epochs rise. The name
 * ends with the id of the head, so that any leader can tell which node may serve for the group.
 *
 * @param name its name
 * @param epoch its epoch
 */
public record GroupKey(String name, long epoch) {

  private static final char HEAD_MARK = '~';

  /**
   * Names a group.
   *
   * @param prefix begins the name; used once only
   * @param head the id of the head
   * @param epoch its epoch
   * @return its identity
   */
  static GroupKey of(String prefix, String head, long epoch) {
    return new GroupKey(prefix + HEAD_MARK + head, epoch);
  }

  /**
   * The id of the head.
   *
   * @return the id; null when the name has another form
   */
  public @Nullable String head() {
    int mark = name.lastIndexOf(HEAD_MARK);
    return mark < 0 ? null : name.substring(mark + 1);
  }

  /**
   * Names the head within this group.
   *
   * @return {@code ID@EPOCH}
   */
  public String headAtEpoch() {
    return head() + "@" + epoch;
  }

  /**
   * Tells whether a place is in this group.
   *
   * @param place a node's place; null when it has none
   * @return true when name and epoch are equal
   */
  boolean matches(@Nullable Membership membership) {
    return membership != null && membership.group().equals(name) && membership.epoch() == epoch;
  }
}
