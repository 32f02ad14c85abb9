package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/** Messages of simulated daemons, without upstreams. */
final class PeerMessages {

  private PeerMessages() {}

  static PeerMessage of(
      String name,
      String dataCentre,
      LeaderElection election,
      LeaderEligibility eligibility,
      boolean isShort) {
    return new PeerMessage(
        name,
        name,
        dataCentre,
        1,
        election.term(),
        election.leader(),
        election.highestClaim(),
        eligibility,
        false,
        isShort,
        PathReport.SOUND,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }
}
