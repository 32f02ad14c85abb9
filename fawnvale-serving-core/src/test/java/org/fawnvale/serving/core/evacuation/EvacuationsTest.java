package org.fawnvale.serving.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.TreeSet;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/** Guards against requests to evacuated data centres because of old, lost or repeated news. */
class EvacuationsTest {

  private final Evacuations evacuations = Evacuations.unknown();

  private static EvacuationState state(long era, long revision, String... dataCentres) {
    return new EvacuationState(new StorePosition(new StoreEra(era), revision), Set.of(dataCentres));
  }

  @Test
  void nothingIsSentAnywhereBeforeTheFirstState() {
    assertThat(evacuations.isKnown()).isFalse();
    assertThat(evacuations.isEvacuated("a")).isTrue();
    assertThat(evacuations.receive(EvacuationState.UNKNOWN)).isFalse();
    assertThat(evacuations.isKnown()).isFalse();
    assertThat(evacuations.receive(state(1, 0))).isTrue();
    assertThat(evacuations.isEvacuated("a")).isFalse();
    assertThat(evacuations.takeReturned()).isEmpty();
  }

  @Test
  void platformWithoutEvacuationsIgnoresAllStates() {
    Evacuations disabled = Evacuations.disabled();
    assertThat(disabled.isKnown()).isTrue();
    assertThat(disabled.receive(state(1, 5, "a"))).isFalse();
    assertThat(disabled.isEvacuated("a")).isFalse();
    assertThat(disabled.state()).isEqualTo(EvacuationState.UNKNOWN);
  }

  @Test
  void delayedStateOfAnotherDaemonDoesNotUndoALaterOne() {
    evacuations.receive(state(1, 5, "a"));
    assertThat(evacuations.receive(state(1, 4))).isFalse();
    assertThat(evacuations.receive(state(1, 5))).isFalse();
    assertThat(evacuations.isEvacuated("a")).isTrue();
    assertThat(evacuations.isEvacuated("b")).isFalse();
  }

  @Test
  void partsOfAPartitionAgreeOnTheLaterStateInWhicheverOrderTheyMeet() {
    Evacuations other = Evacuations.unknown();
    evacuations.receive(state(1, 7, "b"));
    other.receive(state(1, 5, "a"));
    other.receive(evacuations.state());
    evacuations.receive(state(1, 5, "a"));
    assertThat(other.state()).isEqualTo(evacuations.state()).isEqualTo(state(1, 7, "b"));
    assertThat(other.takeReturned()).containsExactly("a");
  }

  @Test
  void stateOfALaterEraAppliesThoughItsRevisionIsLower() {
    evacuations.receive(state(1, 50, "a"));
    assertThat(evacuations.receive(state(2, 10, "b"))).isTrue();
    assertThat(evacuations.isEvacuated("a")).isFalse();
    assertThat(evacuations.isEvacuated("b")).isTrue();
    assertThat(evacuations.receive(state(1, 60, "a"))).isFalse();
  }

  @Test
  void eachReturnIsReportedOnce() {
    evacuations.receive(state(1, 5, "a", "b"));
    assertThat(evacuations.takeReturned()).isEmpty();
    evacuations.receive(state(1, 6, "b"));
    assertThat(evacuations.takeReturned()).containsExactly("a");
    assertThat(evacuations.receive(state(1, 7, "b"))).isFalse();
    assertThat(evacuations.takeReturned()).isEmpty();
  }

  @Test
  void dataCentreThatIsEvacuatedAgainAtOnceHasNotReturned() {
    evacuations.receive(state(1, 5, "a"));
    evacuations.receive(state(1, 6));
    evacuations.receive(state(1, 7, "a"));
    assertThat(evacuations.takeReturned()).isEmpty();
  }

  /** A message with hundreds of names would exceed the size of a datagram. */
  @Test
  void tooManyNamesAreBoundedAndKnownDataCentresAreKept() {
    Set<String> names = new TreeSet<>(Set.of("z-real"));
    for (int number = 0; number < 1_000; number++) {
      names.add("misspelled-" + number);
    }
    assertThat(Evacuations.bounded(names, Set.of("z-real", "y-real")))
        .hasSize(Evacuations.MAX_NAMES)
        .contains("z-real")
        .doesNotContain("y-real");
    assertThat(Evacuations.bounded(Set.of("a", "b"), Set.of())).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void unknownNameIsReportedOnceForEachEvacuationAndHarmsNothing() {
    evacuations.receive(state(1, 5, "a", "mistyped"));
    assertThat(evacuations.takeUnlisted(Set.of("a", "b"))).containsExactly("mistyped");
    assertThat(evacuations.takeUnlisted(Set.of("a", "b"))).isEmpty();
    assertThat(evacuations.isEvacuated("b")).isFalse();
    evacuations.receive(state(1, 6, "a"));
    evacuations.receive(state(1, 7, "a", "mistyped"));
    assertThat(evacuations.takeUnlisted(Set.of("a", "b"))).containsExactly("mistyped");
  }
}
