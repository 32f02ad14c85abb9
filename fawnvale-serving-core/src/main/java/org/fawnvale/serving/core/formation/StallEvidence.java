package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Weighs what the daemons tell of heads that stand still. A cut between data centres looks like the
 * death of every head behind it, so daemons of the head's own data centre are the better witnesses:
 * while one of them has requests there and does not complain, the head moves.
 */
public final class StallEvidence {

  private static final long MILLI = 1_000_000L;

  /** Daemons that agree at once; one alone may have a broken connection. */
  private static final int ENOUGH = 2;

  /** How long one daemon must hold on to its suspicion; two notes of the others fit in. */
  private static final long ALONE_NANOS = 300 * MILLI;

  /**
   * How long daemons of other data centres must hold on to theirs. After a cut ends, notes of the
   * head's own data centre arrive within this time and show whether it moves.
   */
  private static final long FROM_AFAR_NANOS = 600 * MILLI;

  private final boolean cutsAreNoDeaths;
  private final Map<String, Long> since = new HashMap<>();

  /**
   * Creates the evidence of one leader.
   *
   * @param cutsAreNoDeaths whether data centres are told apart; otherwise all witnesses count alike
   */
  public StallEvidence(boolean cutsAreNoDeaths) {
    this.cutsAreNoDeaths = cutsAreNoDeaths;
  }

  /**
   * What one daemon tells.
   *
   * @param dataCentre its data centre
   * @param suspects heads that it holds to be standing still, as {@code ID@EPOCH}
   * @param busy ids of the heads at which it has requests
   */
  public record Observation(String dataCentre, List<String> suspects, Set<String> busy) {}

  /**
   * Heads that surely stand still.
   *
   * @param witnesses what each live daemon tells, the leader included
   * @param dataCentres the data centre of each head by its id; heads that it lacks are ignored
   * @param inSight data centres that the leader reaches
   * @param now the steady time, in nanoseconds
   * @return the heads as {@code ID@EPOCH}
   */
  public Set<String> confirmed(
      List<Observation> witnesses, Map<String, String> dataCentres, Set<String> inSight, long now) {
    Map<String, List<Observation>> suspicions = new HashMap<>();
    for (Observation witness : witnesses) {
      for (String mark : witness.suspects()) {
        suspicions.computeIfAbsent(mark, head -> new ArrayList<>()).add(witness);
      }
    }
    since.keySet().retainAll(suspicions.keySet());
    Set<String> confirmed = new HashSet<>();
    suspicions.forEach(
        (mark, by) -> {
          long age = now - since.computeIfAbsent(mark, head -> now);
          String dataCentre = dataCentres.get(idOf(mark));
          if (dataCentre != null && isConfirmed(mark, by, witnesses, dataCentre, inSight, age)) {
            confirmed.add(mark);
          }
        });
    return confirmed;
  }

  private boolean isConfirmed(
      String mark,
      List<Observation> by,
      List<Observation> all,
      String dataCentre,
      Set<String> inSight,
      long age) {
    boolean isNear = by.stream().anyMatch(witness -> witness.dataCentre().equals(dataCentre));
    if (isNear || !cutsAreNoDeaths) {
      return by.size() >= ENOUGH || age >= ALONE_NANOS;
    }
    boolean movesForOthers =
        all.stream()
            .filter(witness -> witness.dataCentre().equals(dataCentre))
            .anyMatch(witness -> witness.busy().contains(idOf(mark)));
    return inSight.contains(dataCentre) && !movesForOthers && age >= FROM_AFAR_NANOS;
  }

  private static String idOf(String mark) {
    return mark.substring(0, mark.lastIndexOf('@'));
  }
}
