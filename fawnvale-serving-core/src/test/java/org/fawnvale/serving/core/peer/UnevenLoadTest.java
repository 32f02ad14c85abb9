package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against daemons that all close new connections because all are equally busy. */
class UnevenLoadTest {

  private static PeerMessage peer(int inFlight) {
    return new PeerMessage(
        "d",
        "127.0.0.1",
        "a",
        1,
        1,
        "d",
        1,
        LeaderEligibility.ELIGIBLE,
        true,
        false,
        PathReport.SOUND,
        Map.of("n1", inFlight),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  @Test
  void onlyADaemonWithMuchMoreThanItsPeersIsOverloaded() {
    List<PeerMessage> peers = Collections.nCopies(4, peer(40));
    assertThat(UnevenLoad.isOnThisDaemon(80, peers)).isFalse();
    assertThat(UnevenLoad.isOnThisDaemon(81, peers)).isTrue();
  }

  @Test
  void fewRequestsAndADaemonAloneAreNoUnevenLoad() {
    assertThat(UnevenLoad.isOnThisDaemon(31, List.of(peer(0)))).isFalse();
    assertThat(UnevenLoad.isOnThisDaemon(500, List.of())).isFalse();
  }
}
