package org.fawnvale.serving.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * Decides which prompt parts crash nodes: the fewest that explain the crashes. Sound requests share
 * parts with the faulty ones and begin beside them at the nodes that crash, so a crash counts
 * against several parts; once one of them is blamed for it, it no longer counts against the others.
 * Parts that have never been answered are blamed first. Parts that explain the same crashes can't
 * be told apart and are all blamed.
 *
 * <p>Crashes of other parts free no part that is barred and has never been answered: while it is
 * barred it crashes nothing, so that another faulty part soon explains all its crashes. Three
 * faulty parts that crashed the same nodes freed one another in turn; one of them reached seven
 * nodes more.
 */
final class PartBlame {

  /**
   * Crashes from which on a part that has never been answered is blamed: as many as for a whole
   * request, and two fewer than callers accept.
   */
  static final int MIN_CRASHES = 3;

  /**
   * Crashes from which on a part is blamed that has been answered before. Such parts are in many
   * requests, so they are often beside a faulty one.
   */
  static final int MIN_CRASHES_IF_ANSWERED = 5;

  private final Set<NodeIncarnation> explained = new HashSet<>();
  private final Set<Fingerprint> blamed = new HashSet<>();

  private PartBlame() {}

  /**
   * Decides by the records of all daemons. The result depends on the records alone, so daemons with
   * the same records agree.
   *
   * @return the parts whose requests must not be sent
   */
  static Set<Fingerprint> of(Collection<PartRecord> records) {
    PartBlame blame = new PartBlame();
    blame.explain(suspects(records, false), MIN_CRASHES);
    blame.explain(suspects(records, true), MIN_CRASHES_IF_ANSWERED);
    blame.keepBarred(records);
    return Set.copyOf(blame.blamed);
  }

  /** What was barred explains nothing: sound parts may be barred, and would hide a faulty one. */
  private void keepBarred(Collection<PartRecord> records) {
    for (PartRecord each : records) {
      if (each.staysBarred()) {
        blamed.add(each.part());
      }
    }
  }

  private static List<PartRecord> suspects(Collection<PartRecord> records, boolean answeredBefore) {
    List<PartRecord> suspects = new ArrayList<>();
    for (PartRecord each : records) {
      if (each.answeredBefore() == answeredBefore && each.crashCount() >= MIN_CRASHES) {
        suspects.add(each);
      }
    }
    suspects.sort(Comparator.comparingLong(each -> each.part().value()));
    return suspects;
  }

  private void explain(List<PartRecord> suspects, int minCrashes) {
    PartRecord best = mostUnexplained(suspects, minCrashes);
    while (best != null) {
      Set<NodeIncarnation> crashes = unexplained(best);
      for (PartRecord each : suspects) {
        if (unexplained(each).equals(crashes)) {
          blamed.add(each.part());
        }
      }
      explained.addAll(crashes);
      best = mostUnexplained(suspects, minCrashes);
    }
  }

  private @Nullable PartRecord mostUnexplained(List<PartRecord> suspects, int minCrashes) {
    PartRecord best = null;
    int most = minCrashes - 1;
    for (PartRecord each : suspects) {
      int count = unexplained(each).size();
      if (count > most) {
        best = each;
        most = count;
      }
    }
    return best;
  }

  private Set<NodeIncarnation> unexplained(PartRecord suspect) {
    Set<NodeIncarnation> left = new HashSet<>(suspect.crashes());
    left.removeAll(explained);
    return left;
  }
}
