package org.fawnvale.standins;

import java.util.List;
import java.util.Map;

/** What the model workers themselves tell of their groups, however the daemons see them. */
final class GroupStates {

  private final Map<String, GroupWorker> workers;

  /**
   * Creates a view of workers.
   *
   * @param workers the workers by id, which may change
   */
  GroupStates(Map<String, GroupWorker> workers) {
    this.workers = workers;
  }

  /** Returns whether a worker is alive and the open head of a group. */
  boolean isOpen(String head, String group) {
    GroupWorker worker = workers.get(head);
    return worker != null && worker.heads(group);
  }

  /** Returns whether all members are alive and ready in the group. */
  boolean isWhole(List<String> members, String group, long epoch) {
    for (String member : members) {
      GroupWorker worker = workers.get(member);
      if (worker == null || !worker.isAlive() || !worker.isIn(group, epoch)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether all members were ready in the group at some time. Removed members count as
   * ready.
   */
  boolean wasWhole(List<String> members, String group, long epoch) {
    for (String member : members) {
      GroupWorker worker = workers.get(member);
      boolean removed = worker == null;
      if (!removed && !worker.wasReadyIn(group, epoch)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the members of each open group with a live head, the head first. */
  List<List<String>> open() {
    return workers.values().stream()
        .map(GroupWorker::serves)
        .filter(members -> !members.isEmpty())
        .toList();
  }

  /** Returns the groups with an open head, alive or crashed, that a worker is a member of. */
  List<ServingGroup> with(String worker) {
    return workers.values().stream()
        .map(GroupWorker::servingGroup)
        .filter(group -> group != null && group.members().contains(worker))
        .toList();
  }
}
