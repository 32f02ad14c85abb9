package org.fawnvale.serving.core.formation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.model.ModelSpec;
import org.jspecify.annotations.Nullable;

/** A group that is being formed, until its head is open or the attempt fails. */
final class FormationAttempt {

  final GroupKey key;
  final ModelSpec model;
  final List<String> members;
  final int loads;

  /** Members that have answered an order to join. */
  final Set<String> joined = new HashSet<>();

  /** Members that a report calls ready; it may be another process's at the member's address. */
  final Set<String> reportedReady = new HashSet<>();

  final Set<String> ready = new HashSet<>();
  final long expectedReadyNanos;
  final long deadlineNanos;
  boolean adopted;
  @Nullable String departedMember;
  boolean headOrdered;
  long openedNanos = -1;

  FormationAttempt(
      GroupKey key,
      ModelSpec model,
      List<String> members,
      int loads,
      long expectedReadyNanos,
      long deadlineNanos) {
    this.key = key;
    this.model = model;
    this.members = List.copyOf(members);
    this.loads = loads;
    this.expectedReadyNanos = expectedReadyNanos;
    this.deadlineNanos = deadlineNanos;
  }

  String head() {
    return members.get(0);
  }

  boolean allReady() {
    return ready.size() == members.size();
  }

  /** Tells whether the head was ordered to open, by this leader or perhaps by a former one. */
  boolean mayServe() {
    return openedNanos >= 0 || adopted;
  }
}
