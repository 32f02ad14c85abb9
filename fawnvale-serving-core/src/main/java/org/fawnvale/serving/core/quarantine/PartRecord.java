package org.fawnvale.serving.core.quarantine;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * The node crashes that a prompt part may have caused. Records of different daemons are joined; the
 * result does not depend on the order and the number of deliveries, so all daemons converge.
 *
 * @param part the prompt part
 * @param epoch how often an answer has cleared the part; a record of a later epoch replaces one of
 *     an earlier epoch
 * @param crashes the incarnations of nodes that crashed as they began to answer a request with the
 *     part, {@value #MAX_CRASHES} at most
 * @param answeredBefore whether a request with the part has ever been answered
 * @param barred whether a daemon has barred the part in this epoch. A part that has never been
 *     answered then stays barred until an answer clears it, whatever explains its crashes
 * @param trials the number of trials of this epoch
 */
public record PartRecord(
    Fingerprint part,
    long epoch,
    Set<NodeIncarnation> crashes,
    boolean answeredBefore,
    boolean barred,
    int trials) {

  /** Bounds the size of a record: 400 bytes in a message. */
  static final int MAX_CRASHES = 16;

  private static final Comparator<NodeIncarnation> ORDER =
      Comparator.comparing(NodeIncarnation::id).thenComparing(NodeIncarnation::startedMillis);

  /** Creates the record of a part that is not suspected. */
  static PartRecord unsuspected(Fingerprint part) {
    return new PartRecord(part, 0, Set.of(), false, false, 0);
  }

  /** Returns the number of crashes that count against the part. */
  public int crashCount() {
    return crashes.size();
  }

  PartRecord withCrash(NodeIncarnation node) {
    return new PartRecord(
        part, epoch, union(crashes, Set.of(node)), answeredBefore, barred, trials);
  }

  PartRecord withTrial() {
    return new PartRecord(part, epoch, crashes, answeredBefore, barred, trials + 1);
  }

  PartRecord asBarred() {
    return barred ? this : new PartRecord(part, epoch, crashes, answeredBefore, true, trials);
  }

  PartRecord asAnsweredBefore() {
    return answeredBefore ? this : new PartRecord(part, epoch, crashes, true, barred, trials);
  }

  /** Returns whether the part stays barred until an answer clears it. */
  boolean staysBarred() {
    return barred && !answeredBefore;
  }

  /** Returns the record after a request with the part has been answered. */
  PartRecord cleared() {
    return clearedTo(Set.of());
  }

  /**
   * Returns the record after a request with the part has been answered.
   *
   * @param later the crashes that the answer says nothing of
   */
  PartRecord clearedTo(Set<NodeIncarnation> later) {
    return new PartRecord(
        part, epoch + 1, Set.copyOf(later), true, false, later.isEmpty() ? 0 : trials);
  }

  /** Returns what both records say of the same part. */
  PartRecord join(PartRecord other) {
    if (epoch != other.epoch) {
      PartRecord later = epoch > other.epoch ? this : other;
      return answeredBefore || other.answeredBefore ? later.asAnsweredBefore() : later;
    }
    return new PartRecord(
        part,
        epoch,
        union(crashes, other.crashes),
        answeredBefore || other.answeredBefore,
        barred || other.barred,
        Math.max(trials, other.trials));
  }

  /** Keeps the first incarnations by name beyond the bound, so that joining stays commutative. */
  private static Set<NodeIncarnation> union(
      Set<NodeIncarnation> first, Set<NodeIncarnation> second) {
    if (first.containsAll(second)) {
      return first;
    }
    Set<NodeIncarnation> both = new HashSet<>(first);
    both.addAll(second);
    if (both.size() <= MAX_CRASHES) {
      return Set.copyOf(both);
    }
    List<NodeIncarnation> kept = both.stream().sorted(ORDER).limit(MAX_CRASHES).toList();
    return Set.copyOf(kept);
  }
}
