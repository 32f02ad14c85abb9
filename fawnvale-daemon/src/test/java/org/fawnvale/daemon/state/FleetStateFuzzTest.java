package org.fawnvale.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.Rollout;
import org.fawnvale.platform.StoredObject;

/**
 * Checks that the state never reverts, whatever the order in which objects arrive, and that it ends
 * at the newest revision once all have arrived.
 */
class FleetStateFuzzTest {

  private static final int REVISIONS = 6;

  @Property(tries = 500, seed = "20261202")
  void neverRevertsAndEndsAtTheNewest(@ForAll("deliveries") List<Integer> deliveries) {
    List<StoredObject> written = written();
    FleetState state = new FleetState();
    long accepted = 0;
    for (int delivery : deliveries) {
      state.apply(List.of(written.get(delivery)));
      FleetView view = state.view();
      assertThat(view.rollout().accepted()).isGreaterThanOrEqualTo(accepted);
      accepted = view.rollout().accepted();
      String inForce = view.bundle() == null ? "bundle-0" : view.bundle().name();
      assertThat(inForce).isEqualTo("bundle-" + accepted);
    }
    state.apply(written);
    assertThat(state.view().rollout().accepted()).isEqualTo(REVISIONS);
    assertThat(state.versions().keySet())
        .doesNotContain(ObjectNames.bundle(1))
        .contains(ObjectNames.bundle(REVISIONS));
  }

  private static List<StoredObject> written() {
    List<StoredObject> written = new ArrayList<>();
    Rollout rollout = Rollout.EMPTY;
    long version = 0;
    for (long revision = 1; revision <= REVISIONS; revision++) {
      Bundle bundle = new Bundle("bundle-" + revision, null, null, null, null, null);
      written.add(
          new StoredObject(ObjectNames.bundle(revision), ++version, Documents.write(bundle)));
      rollout = value(rollout.submit(revision, "s" + revision, "ana"));
      rollout = value(rollout.approve(revision, "a" + revision, "ana"));
      rollout = value(rollout.rollOut(revision, "r" + revision, "ana"));
      written.add(new StoredObject(ObjectNames.ROLLOUT, ++version, Documents.write(rollout)));
    }
    return written;
  }

  private static Rollout value(org.fawnvale.core.result.Result<Rollout> result) {
    return result.fold(
        each -> each,
        problem -> {
          throw new AssertionError(problem.describe());
        });
  }

  @Provide
  Arbitrary<List<Integer>> deliveries() {
    return Arbitraries.integers().between(0, 2 * REVISIONS - 1).list().ofMaxSize(40);
  }
}
