package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * All orders of events in a small world whose store goes back up to twice: no daemon goes back to a
 * lower version, and once the trouble is over all agree with the store. Each flaw that is built in
 * breaks that somewhere.
 */
class StoreRollbackExhaustiveTest {

  private static final int DEPTH = 11;

  /** Fewer would mean that most events can't happen any more. */
  private static final int LEAST_STATES = 100_000;

  /** What a search has found. */
  private record Found(int states, List<StoreRollbackModel.Event> broken) {}

  private static StoreRollbackModel play(
      Set<StoreRollbackModel.Flaw> flaws, List<StoreRollbackModel.Event> events) {
    StoreRollbackModel world = new StoreRollbackModel(flaws);
    events.forEach(world::happens);
    return world;
  }

  private static Found search(Set<StoreRollbackModel.Flaw> flaws) {
    Set<String> seen = new HashSet<>();
    Deque<List<StoreRollbackModel.Event>> open = new ArrayDeque<>();
    open.add(List.of());
    while (!open.isEmpty()) {
      List<StoreRollbackModel.Event> path = open.removeFirst();
      if (play(flaws, path).hasGoneBack() || !play(flaws, path).endsRight()) {
        return new Found(seen.size(), path);
      }
      for (StoreRollbackModel.Event event : StoreRollbackModel.Event.values()) {
        StoreRollbackModel world = play(flaws, path);
        if (path.size() < DEPTH && world.happens(event) && seen.add(world.signature())) {
          List<StoreRollbackModel.Event> longer = new ArrayList<>(path);
          longer.add(event);
          open.add(longer);
        }
      }
    }
    return new Found(seen.size(), List.of());
  }

  @Test
  void noOrderMakesADaemonGoBackOrDisagreeForGood() {
    Found found = search(Set.of());
    assertThat(found.broken()).as("of %d states", found.states()).isEmpty();
    assertThat(found.states()).isGreaterThan(LEAST_STATES);
  }

  @ParameterizedTest
  @EnumSource(StoreRollbackModel.Flaw.class)
  void eachFlawIsFound(StoreRollbackModel.Flaw flaw) {
    assertThat(search(Set.of(flaw)).broken()).as("the search misses %s", flaw).isNotEmpty();
  }
}
