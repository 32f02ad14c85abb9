package org.fawnvale.serving.core.quarantine;

import java.util.HashSet;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * The node failures that are attributed to one request. Records are merged by set union, so that
 * daemons converge regardless of the order and the number of deliveries.
 *
 * @param failures the incarnations of nodes that ended while they ran the request
 * @param excused the failures that no longer count against the request, since a node has answered
 *     it later
 */
public record QuarantineRecord(
    Fingerprint fingerprint, Set<NodeIncarnation> failures, Set<NodeIncarnation> excused) {

  /** Returns the number of failures that count against the request. */
  public int failureCount() {
    int count = 0;
    for (NodeIncarnation incarnation : failures) {
      count += excused.contains(incarnation) ? 0 : 1;
    }
    return count;
  }

  /** Returns the union of this record and another record of the same request. */
  QuarantineRecord merge(QuarantineRecord other) {
    return new QuarantineRecord(
        fingerprint, union(failures, other.failures), union(excused, other.excused));
  }

  private static Set<NodeIncarnation> union(
      Set<NodeIncarnation> first, Set<NodeIncarnation> second) {
    if (first.containsAll(second)) {
      return first;
    }
    Set<NodeIncarnation> union = new HashSet<>(first);
    union.addAll(second);
    return Set.copyOf(union);
  }
}
