package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which heads are confirmed as stalled by daemons of the same and of other data centres. */
class StallEvidenceTest {

  private static final long MILLI = 1_000_000L;
  private static final Map<String, String> HEADS = Map.of("h", "north");
  private static final Set<String> BOTH = Set.of("north", "south");

  private final StallEvidence evidence = new StallEvidence(true);

  private static StallEvidence.Observation suspects(String dataCentre) {
    return new StallEvidence.Observation(dataCentre, List.of("h@3"), Set.of("h"));
  }

  private static StallEvidence.Observation busy(String dataCentre) {
    return new StallEvidence.Observation(dataCentre, List.of(), Set.of("h"));
  }

  private static StallEvidence.Observation idle(String dataCentre) {
    return new StallEvidence.Observation(dataCentre, List.of(), Set.of());
  }

  private Set<String> at(long millis, Set<String> inSight, StallEvidence.Observation... witnesses) {
    return evidence.confirmed(List.of(witnesses), HEADS, inSight, millis * MILLI);
  }

  @Test
  void twoDaemonsConfirmAtOnceIfOneIsLocal() {
    assertThat(at(0, BOTH, suspects("north"), suspects("south"))).containsExactly("h@3");
  }

  @Test
  void twoDaemonsThatLostTheirPathsDoNotConfirmAtOnceAgainstOneThatIsServed() {
    assertThat(at(0, BOTH, suspects("north"), suspects("north"), busy("north"))).isEmpty();
    assertThat(at(100, BOTH, idle("north"), idle("north"), busy("north"))).isEmpty();
  }

  @Test
  void oneLocalDaemonConfirmsAfterADelay() {
    assertThat(at(0, BOTH, suspects("north"), busy("south"))).isEmpty();
    assertThat(at(300, BOTH, suspects("north"), busy("south"))).containsExactly("h@3");
  }

  @Test
  void headsBehindANetworkPartitionAreNotConfirmedAsStalled() {
    Set<String> own = Set.of("south");
    assertThat(at(0, own, suspects("south"), suspects("south"))).isEmpty();
    assertThat(at(3_000, own, suspects("south"), suspects("south"))).isEmpty();
  }

  @Test
  void localDaemonsOutweighRemoteSuspicionsAfterANetworkPartition() {
    assertThat(at(0, BOTH, suspects("south"), suspects("south"), busy("north"))).isEmpty();
    assertThat(at(2_000, BOTH, suspects("south"), suspects("south"), busy("north"))).isEmpty();
  }

  @Test
  void remoteDaemonsConfirmIfNoLocalOneHasRequestsAtTheHead() {
    assertThat(at(0, BOTH, suspects("south"), idle("north"))).isEmpty();
    assertThat(at(600, BOTH, suspects("south"), idle("north"))).containsExactly("h@3");
  }

  @Test
  void aSuspicionThatEndedStartsOver() {
    at(0, BOTH, suspects("north"));
    at(200, BOTH, busy("north"));
    assertThat(at(400, BOTH, suspects("north"))).isEmpty();
  }

  @Test
  void allDaemonsCountAlikeWhenThePolicyIsOff() {
    StallEvidence plain = new StallEvidence(false);
    List<StallEvidence.Observation> witnesses = List.of(suspects("south"), suspects("south"));
    assertThat(plain.confirmed(witnesses, HEADS, Set.of("south"), 0)).containsExactly("h@3");
  }
}
