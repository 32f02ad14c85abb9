package org.fawnvale.daemon.operate;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.fawnvale.core.model.Rollout;
import org.fawnvale.core.model.Stage;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.daemon.FakeStore;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.platform.StoredObject;

/**
 * Checks that the outcome reported to concurrent operators matches the stored rollout, despite lost
 * requests and lost responses.
 */
class BundleUpdaterFuzzTest {

  private static final int UPDATERS = 2;

  /** Kind of an operator's request. */
  enum Action {
    SUBMIT,
    APPROVE,
    ROLL_OUT,
    STOP,
    ROLL_FORWARD
  }

  /** A request to one updater; a concurrent request to the other may be stored before it. */
  record Request(int updater, Action action, FakeStore.Fault fault, boolean overtaken) {}

  @Property(tries = 1500, seed = "20261202")
  void reportedOutcomesMatchStoredHistory(@ForAll("requests") List<Request> requests)
      throws IOException {
    FakeStore store = new FakeStore();
    List<FleetState> states = new ArrayList<>();
    List<BundleUpdater> updaters = new ArrayList<>();
    for (int i = 0; i < UPDATERS; i++) {
      FleetState state = new FleetState();
      states.add(state);
      updaters.add(new BundleUpdater(state, state::apply, store));
    }
    Set<String> done = new HashSet<>();
    Set<String> refused = new HashSet<>();
    long accepted = 0;
    int number = 0;
    for (Request request : requests) {
      number++;
      String operation = "operation-" + number;
      String overtaking = "overtaking-" + number;
      store.failWith(once(request.fault()));
      BundleUpdater other = updaters.get(1 - request.updater());
      store.beforeWrite(
          request.overtaken()
              ? () -> {
                store.beforeWrite(() -> {});
                recordOutcome(
                    overtaking,
                    submitRequest(other, request.action(), overtaking, head(store)),
                    done,
                    refused);
              }
              : () -> {});
      Rollout seen = head(store);
      recordOutcome(
          operation,
          submitRequest(updaters.get(request.updater()), request.action(), operation, seen),
          done,
          refused);
      store.beforeWrite(() -> {});

      Rollout head = head(store);
      assertThat(head.accepted()).isGreaterThanOrEqualTo(accepted);
      accepted = head.accepted();
      for (FleetState state : states) {
        assertThat(state.view().rollout().accepted()).isLessThanOrEqualTo(accepted);
      }
    }
    Rollout head = head(store);
    Set<String> recorded = new HashSet<>();
    head.history().forEach(change -> assertThat(recorded.add(change.operation())).isTrue());
    if (number * 2 <= Rollout.HISTORY_LENGTH) {
      assertThat(recorded).containsAll(done);
    }
    assertThat(recorded).doesNotContainAnyElementsOf(refused);
  }

  private static void recordOutcome(
      String operation, BundleUpdater.Outcome outcome, Set<String> done, Set<String> refused) {
    if (outcome instanceof BundleUpdater.Outcome.Done) {
      done.add(operation);
    } else if (outcome instanceof BundleUpdater.Outcome.Refused no
        && no.problems().get(0).kind() != ProblemKind.OUTCOME_UNKNOWN) {
      refused.add(operation);
    }
  }

  private static BundleUpdater.Outcome submitRequest(
      BundleUpdater updater, Action action, String operation, Rollout seen) {
    return switch (action) {
      case SUBMIT -> updater.submit(bundle(operation), operation, "ana");
      case APPROVE ->
          updater.change(operation, head -> head.approve(seen.latest(), operation, "ana"));
      case ROLL_OUT ->
          updater.change(operation, head -> head.rollOut(seen.latest(), operation, "ana"));
      case STOP ->
          updater.change(operation, head -> head.stop(seen.accepted(), "why", operation, "ana"));
      case ROLL_FORWARD ->
          updater.change(operation, head -> head.rollForward(seen.accepted(), operation, "ana"));
    };
  }

  private static Rollout head(FakeStore store) {
    try {
      StoredObject stored = store.stored(ObjectNames.ROLLOUT).orElse(null);
      Rollout head = stored == null ? Rollout.EMPTY : Documents.read(stored.value(), Rollout.class);
      assertThat(head.acceptedStage() == Stage.SUBMITTED).isFalse();
      return head;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static String bundle(String name) {
    return "{\"name\": \"" + name + "\", \"models\": [], \"roles\": [], \"workspaces\": []}";
  }

  private static java.util.function.Supplier<FakeStore.Fault> once(FakeStore.Fault fault) {
    int[] calls = {0};
    return () -> {
      calls[0]++;
      return calls[0] == 2 ? fault : FakeStore.Fault.NONE;
    };
  }

  @Provide
  Arbitrary<List<Request>> requests() {
    Arbitrary<FakeStore.Fault> fault =
        Arbitraries.frequency(
            Tuple.of(6, FakeStore.Fault.NONE),
            Tuple.of(1, FakeStore.Fault.REFUSED),
            Tuple.of(2, FakeStore.Fault.ANSWER_LOST),
            Tuple.of(1, FakeStore.Fault.CALL_LOST));
    return Combinators.combine(
            Arbitraries.integers().between(0, UPDATERS - 1),
            Arbitraries.of(Action.class),
            fault,
            Arbitraries.of(true, false))
        .as(Request::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(24);
  }
}
