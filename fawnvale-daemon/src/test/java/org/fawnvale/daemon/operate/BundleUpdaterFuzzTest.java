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

/** Operators who race, with lost calls and answers: what they are told is what happened. */
class BundleUpdaterFuzzTest {

  private static final int DESKS = 2;

  /** What an operator asks for. */
  enum Action {
    SUBMIT,
    APPROVE,
    ROLL_OUT,
    STOP,
    ROLL_FORWARD
  }

  /** One request of one operator, and another that may overtake it. */
  record Asked(int desk, Action action, FakeStore.Fault fault, boolean overtaken) {}

  @Property(tries = 1500, seed = "20261202")
  void operatorsAreToldTheTruth(@ForAll("requests") List<Asked> requests) throws IOException {
    FakeStore store = new FakeStore();
    List<FleetState> states = new ArrayList<>();
    List<BundleUpdater> desks = new ArrayList<>();
    for (int i = 0; i < DESKS; i++) {
      FleetState state = new FleetState();
      states.add(state);
      desks.add(new BundleUpdater(state, state::apply, store));
    }
    Set<String> done = new HashSet<>();
    Set<String> refused = new HashSet<>();
    long accepted = 0;
    int number = 0;
    for (Asked asked : requests) {
      number++;
      String operation = "operation-" + number;
      String overtaking = "overtaking-" + number;
      store.failWith(once(asked.fault()));
      BundleUpdater other = desks.get(1 - asked.desk());
      store.beforeWrite(
          asked.overtaken()
              ? () -> {
                store.beforeWrite(() -> {});
                note(
                    overtaking, ask(other, asked.action(), overtaking, head(store)), done, refused);
              }
              : () -> {});
      Rollout seen = head(store);
      note(operation, ask(desks.get(asked.desk()), asked.action(), operation, seen), done, refused);
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

  private static void note(
      String operation, BundleUpdater.Filed filed, Set<String> done, Set<String> refused) {
    if (filed instanceof BundleUpdater.Filed.Done) {
      done.add(operation);
    } else if (filed instanceof BundleUpdater.Filed.Refused no
        && no.problems().get(0).kind() != ProblemKind.OUTCOME_UNKNOWN) {
      refused.add(operation);
    }
  }

  private static BundleUpdater.Filed ask(
      BundleUpdater desk, Action action, String operation, Rollout seen) {
    return switch (action) {
      case SUBMIT -> desk.submit(bundle(operation), operation, "ana");
      case APPROVE -> desk.change(operation, head -> head.approve(seen.latest(), operation, "ana"));
      case ROLL_OUT ->
          desk.change(operation, head -> head.rollOut(seen.latest(), operation, "ana"));
      case STOP ->
          desk.change(operation, head -> head.stop(seen.accepted(), "why", operation, "ana"));
      case ROLL_FORWARD ->
          desk.change(operation, head -> head.rollForward(seen.accepted(), operation, "ana"));
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
  Arbitrary<List<Asked>> requests() {
    Arbitrary<FakeStore.Fault> fault =
        Arbitraries.frequency(
            Tuple.of(6, FakeStore.Fault.NONE),
            Tuple.of(1, FakeStore.Fault.REFUSED),
            Tuple.of(2, FakeStore.Fault.ANSWER_LOST),
            Tuple.of(1, FakeStore.Fault.CALL_LOST));
    return Combinators.combine(
            Arbitraries.integers().between(0, DESKS - 1),
            Arbitraries.of(Action.class),
            fault,
            Arbitraries.of(true, false))
        .as(Asked::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(24);
  }
}
