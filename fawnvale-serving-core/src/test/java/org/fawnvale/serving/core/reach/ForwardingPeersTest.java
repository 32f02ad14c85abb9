package org.fawnvale.serving.core.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Guards against requests forwarded to daemons that reach no upstream, or all to the same one. */
class ForwardingPeersTest {

  private static final int DRAWS = 200;

  private final List<PeerMessage> live = new ArrayList<>();
  private final ForwardingPeers peers = new ForwardingPeers("north", new Random(7));

  private void peer(String name, String dataCentre, LeaderEligibility eligibility, int inFlight) {
    live.add(
        new PeerMessage(
            name,
            "at-" + name,
            dataCentre,
            1,
            1,
            "",
            0,
            eligibility,
            true,
            false,
            PathReport.SOUND,
            Map.of("h", inFlight),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of()));
  }

  private Set<String> chosen(Set<String> excluded) {
    Set<String> names = new TreeSet<>();
    for (int draw = 0; draw < DRAWS; draw++) {
      PeerMessage peer = peers.choose(live, excluded);
      names.add(peer == null ? "none" : peer.name());
    }
    return names;
  }

  @Test
  void daemonsOfTheOwnDataCentreArePreferredAndShareTheRequests() {
    peer("a", "north", LeaderEligibility.ELIGIBLE, 1);
    peer("b", "north", LeaderEligibility.WITHOUT_STORE, 1);
    peer("c", "south", LeaderEligibility.ELIGIBLE, 0);
    assertThat(chosen(Set.of())).containsExactly("a", "b");
    assertThat(chosen(Set.of("a", "b"))).containsExactly("c");
  }

  @Test
  void otherDataCentresHelpWhereMostDaemonsHaveLostTheirPaths() {
    peer("a", "north", LeaderEligibility.ELIGIBLE, 1);
    peer("b", "north", LeaderEligibility.WITHOUT_UPSTREAMS, 0);
    peer("c", "south", LeaderEligibility.ELIGIBLE, 1);
    assertThat(chosen(Set.of())).containsExactly("a", "c");
  }

  @Test
  void daemonWithFewerRequestsIsChosenOfTwo() {
    peer("a", "north", LeaderEligibility.ELIGIBLE, 9);
    peer("b", "north", LeaderEligibility.ELIGIBLE, 0);
    long idle =
        java.util.stream.IntStream.range(0, DRAWS)
            .filter(draw -> "b".equals(String.valueOf(peers.choose(live, Set.of()).name())))
            .count();
    assertThat(idle).isGreaterThan(DRAWS / 2);
  }

  @Test
  void noDaemonForwardsIfNoneReachesUpstreams() {
    peer("a", "north", LeaderEligibility.WITHOUT_UPSTREAMS, 0);
    peer("b", "south", LeaderEligibility.INELIGIBLE, 0);
    assertThat(peers.anyForwards(live)).isFalse();
    assertThat(chosen(Set.of())).containsExactly("none");
  }
}
