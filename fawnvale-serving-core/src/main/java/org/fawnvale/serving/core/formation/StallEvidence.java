package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides from the observations of all daemons which heads are stalled. A network partition between
 * data centres looks like the failure of every head behind it, so observations from the head's own
 * data centre have priority: while a daemon there has requests at the head and doesn't suspect it,
 * the head is not stalled.
 */
public final class StallEvidence {

  private static final long MILLI = 1_000_000L;

  /**
   * Number of daemons that confirm a stall at once, unless another one near the head has requests
   * there and does not suspect it. A single daemon may just have a broken connection, and daemons
   * that lose their own paths at the same moment suspect every head until they notice.
   */
  private static final int CONFIRMING_DAEMONS = 2;

  /**
   * How long a single daemon must suspect a head before the stall is confirmed. Two messages of the
   * other daemons arrive within this time.
   */
  private static final long SINGLE_OBSERVER_NANOS = 300 * MILLI;

  /**
   * How long daemons of other data centres must suspect a head before the stall is confirmed. After
   * a network partition ends, messages from the head's own data centre arrive within this time and
   * show whether it serves.
   */
  private static final long REMOTE_OBSERVERS_NANOS = 600 * MILLI;

  private final boolean cutsAreNoDeaths;
  private final Map<String, Long> since = new HashMap<>();

  /**
   * Creates the evidence of one leader.
   *
   * @param cutsAreNoDeaths whether data centres are distinguished; otherwise all observations count
   *     alike
   */
  public StallEvidence(boolean cutsAreNoDeaths) {
    this.cutsAreNoDeaths = cutsAreNoDeaths;
  }

  /**
   * What one daemon reports.
   *
   * @param suspects heads that it suspects to be stalled, as {@code ID@EPOCH}
   * @param busy ids of the heads at which it has requests
   */
  public record Observation(String dataCentre, List<String> suspects, Set<String> busy) {}

  /**
   * Returns the heads that are confirmed as stalled.
   *
   * @param observations what each live daemon reports, the leader included
   * @param dataCentres the data centre of each head, by the head's id; other heads are ignored
   * @param reachableDataCentres data centres that the leader can reach
   * @param now the monotonic time, in nanoseconds
   * @return the heads as {@code ID@EPOCH}
   */
  public Set<String> confirmed(
      List<Observation> observations,
      Map<String, String> dataCentres,
      Set<String> reachableDataCentres,
      long now) {
    Map<String, List<Observation>> suspicions = new HashMap<>();
    for (Observation observation : observations) {
      for (String headAtEpoch : observation.suspects()) {
        suspicions.computeIfAbsent(headAtEpoch, head -> new ArrayList<>()).add(observation);
      }
    }
    since.keySet().retainAll(suspicions.keySet());
    Set<String> confirmed = new HashSet<>();
    suspicions.forEach(
        (headAtEpoch, observers) -> {
          long age = now - since.computeIfAbsent(headAtEpoch, head -> now);
          String dataCentre = dataCentres.get(idOf(headAtEpoch));
          if (dataCentre != null
              && isConfirmed(
                  headAtEpoch, observers, observations, dataCentre, reachableDataCentres, age)) {
            confirmed.add(headAtEpoch);
          }
        });
    return confirmed;
  }

  private boolean isConfirmed(
      String headAtEpoch,
      List<Observation> observers,
      List<Observation> all,
      String dataCentre,
      Set<String> reachableDataCentres,
      long age) {
    boolean reportedLocally =
        observers.stream().anyMatch(observation -> observation.dataCentre().equals(dataCentre));
    boolean servesOthers =
        all.stream()
            .filter(observation -> observation.dataCentre().equals(dataCentre))
            .filter(observation -> !observation.suspects().contains(headAtEpoch))
            .anyMatch(observation -> observation.busy().contains(idOf(headAtEpoch)));
    if (reportedLocally || !cutsAreNoDeaths) {
      boolean undisputed = observers.size() >= CONFIRMING_DAEMONS && !servesOthers;
      return undisputed || age >= SINGLE_OBSERVER_NANOS;
    }
    return reachableDataCentres.contains(dataCentre)
        && !servesOthers
        && age >= REMOTE_OBSERVERS_NANOS;
  }

  private static String idOf(String headAtEpoch) {
    return headAtEpoch.substring(0, headAtEpoch.lastIndexOf('@'));
  }
}
