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
 * Explores all event orders up to a bounded depth in a model whose store is rolled back up to
 * twice. Guards against daemons whose configuration version decreases and against copies that do
 * not converge to the store. Each injected fault must violate one of these properties.
 */
class StoreRollbackExhaustiveTest {

  private static final int DEPTH = 11;

  /** A lower count would indicate that most events of the model are never possible. */
  private static final int MIN_STATES = 100_000;

  /**
   * The result of a search.
   *
   * @param states the number of distinct states
   * @param violation the first event order that violates a property; empty if there is none
   */
  private record SearchResult(int states, List<StoreRollbackModel.Event> violation) {}

  private static StoreRollbackModel replay(
      Set<StoreRollbackModel.Fault> faults, List<StoreRollbackModel.Event> events) {
    StoreRollbackModel model = new StoreRollbackModel(faults);
    events.forEach(model::tryApply);
    return model;
  }

  private static SearchResult search(Set<StoreRollbackModel.Fault> faults) {
    Set<String> seen = new HashSet<>();
    Deque<List<StoreRollbackModel.Event>> open = new ArrayDeque<>();
    open.add(List.of());
    while (!open.isEmpty()) {
      List<StoreRollbackModel.Event> path = open.removeFirst();
      if (replay(faults, path).hasVersionDecreased() || !replay(faults, path).converges()) {
        return new SearchResult(seen.size(), path);
      }
      for (StoreRollbackModel.Event event : StoreRollbackModel.Event.values()) {
        StoreRollbackModel model = replay(faults, path);
        if (path.size() < DEPTH && model.tryApply(event) && seen.add(model.signature())) {
          List<StoreRollbackModel.Event> longer = new ArrayList<>(path);
          longer.add(event);
          open.add(longer);
        }
      }
    }
    return new SearchResult(seen.size(), List.of());
  }

  @Test
  void noEventOrderViolatesTheProperties() {
    SearchResult result = search(Set.of());
    assertThat(result.violation()).as("of %d states", result.states()).isEmpty();
    assertThat(result.states()).isGreaterThan(MIN_STATES);
  }

  @ParameterizedTest
  @EnumSource(StoreRollbackModel.Fault.class)
  void searchDetectsEachInjectedFault(StoreRollbackModel.Fault fault) {
    assertThat(search(Set.of(fault)).violation()).as("the search misses %s", fault).isNotEmpty();
  }
}
