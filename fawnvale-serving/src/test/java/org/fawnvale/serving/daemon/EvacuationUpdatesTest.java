package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of evacuations that a daemon misses, reports twice or reports too late.
 */
class EvacuationUpdatesTest {

  private final Evacuations evacuations = Evacuations.unknown();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final List<String> calls = new ArrayList<>();
  private final EvacuationUpdates updates =
      new EvacuationUpdates(
          evacuations,
          new EvacuationUpdates.Listener() {
            @Override
            public void changed() {
              calls.add("changed");
            }

            @Override
            public void returned(Set<String> dataCentres) {
              calls.add("returned " + dataCentres);
            }
          },
          () -> Set.of("a", "b"),
          null,
          registry);

  private static EvacuationState state(long revision, String... dataCentres) {
    return new EvacuationState(new StorePosition(new StoreEra(1), revision), Set.of(dataCentres));
  }

  @Test
  void eachChangeIsReportedOnceAndAReturnBeforeAnythingElseLearnsOfIt() {
    updates.receive(state(1));
    updates.receive(state(2, "a"));
    updates.receive(state(2, "a"));
    updates.receive(state(3, "a"));
    assertThat(calls).containsExactly("changed", "changed");
    calls.clear();
    updates.receive(state(4));
    assertThat(calls).containsExactly("returned [a]", "changed");
  }

  @Test
  void peersNewsIsSentOnWithTheNextMessageButNotAtOnce() {
    updates.receive(state(2, "a"));
    assertThat(updates.state()).isEqualTo(state(2, "a"));
    assertThat(updates.takeUrgentUpdate()).isFalse();
  }

  @Test
  void gaugeShowsTheNumberOfEvacuatedDataCentres() {
    assertThat(registry.get("fawnvale.evacuation.data.centres").gauge().value()).isZero();
    updates.receive(state(2, "a", "b"));
    assertThat(registry.get("fawnvale.evacuation.data.centres").gauge().value()).isEqualTo(2);
  }
}
