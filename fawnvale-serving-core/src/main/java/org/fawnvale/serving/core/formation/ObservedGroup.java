package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * A group as the listed entries of its members show it.
 *
 * @param key identity of the group
 * @param members the listed members
 */
public record ObservedGroup(GroupKey key, List<Node> members) {

  /**
   * Groups nodes by their membership.
   *
   * @param nodes all nodes
   * @return the groups by identity
   */
  public static Map<GroupKey, ObservedGroup> gather(Collection<Node> nodes) {
    Map<GroupKey, ObservedGroup> groups = new LinkedHashMap<>();
    for (Node node : nodes) {
      Membership membership = node.membership();
      if (membership != null) {
        GroupKey key = new GroupKey(membership.group(), membership.epoch());
        groups
            .computeIfAbsent(key, name -> new ObservedGroup(name, new ArrayList<>()))
            .members()
            .add(node);
      }
    }
    return groups;
  }

  /**
   * Returns the head.
   *
   * @return the member of rank 0; null when it is not listed
   */
  public @Nullable Node head() {
    for (Node node : members) {
      if (membership(node).rank() == 0) {
        return node;
      }
    }
    return null;
  }

  /**
   * Tells whether all members are listed and healthy.
   *
   * @param size the number of members that the group's model needs
   * @return true when the group may serve
   */
  public boolean isComplete(int size) {
    return members.size() >= size && head() != null && hasOnlyHealthyMembers();
  }

  /**
   * Tells whether no listed member is draining or broken.
   *
   * @return true when the group is healthy apart from members that are not listed
   */
  public boolean hasOnlyHealthyMembers() {
    for (Node node : members) {
      if (node.draining() || membership(node).state() == MemberState.BROKEN) {
        return false;
      }
    }
    return true;
  }

  /**
   * Tells whether the head may receive requests. Another member may be draining, since draining
   * members keep serving for a while.
   *
   * @return true when the head is listed and not draining, and no member is broken
   */
  public boolean headMayServe() {
    Node head = head();
    return head != null && !head.draining() && !anyMemberIs(MemberState.BROKEN);
  }

  /**
   * Tells whether any member is draining.
   *
   * @return true when there is such a member
   */
  public boolean hasDrainingMember() {
    return members.stream().anyMatch(Node::draining);
  }

  /**
   * Tells whether any member is in a state.
   *
   * @return true when there is such a member
   */
  public boolean anyMemberIs(MemberState state) {
    for (Node node : members) {
      if (membership(node).state() == state) {
        return true;
      }
    }
    return false;
  }

  private static Membership membership(Node node) {
    Membership membership = node.membership();
    if (membership == null) {
      throw new IllegalStateException("Node " + node.id() + " is not a member of a group.");
    }
    return membership;
  }
}
