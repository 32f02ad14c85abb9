package org.fawnvale.serving.core.quarantine;

import java.util.HashSet;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * What is known of one request that was running where a node ended. Records are merged by union, so
 * that daemons agree in whatever order, and however often, they hear of each other's.
 *
 * @param fingerprint which request
 * @param ended lives of nodes that ended while they ran it
 * @param excused those of them that are not held against it, since it has been answered later
 */
public record QuarantineRecord(
    Fingerprint fingerprint, Set<NodeIncarnation> failures, Set<NodeIncarnation> excused) {

  /**
   * Nodes whose end is held against the request.
   *
   * @return their number
   */
  public int failureCount() {
    int count = 0;
    for (NodeIncarnation life : failures) {
      count += excused.contains(life) ? 0 : 1;
    }
    return count;
  }

  /**
   * Adds what another record of the same request tells.
   *
   * @param other the other record
   * @return what both tell
   */
  QuarantineRecord merge(QuarantineRecord other) {
    return new QuarantineRecord(
        fingerprint, union(failures, other.failures), union(excused, other.excused));
  }

  private static Set<NodeIncarnation> union(Set<NodeIncarnation> one, Set<NodeIncarnation> other) {
    if (one.containsAll(other)) {
      return one;
    }
    Set<NodeIncarnation> both = new HashSet<>(one);
    both.addAll(other);
    return Set.copyOf(both);
  }
}
