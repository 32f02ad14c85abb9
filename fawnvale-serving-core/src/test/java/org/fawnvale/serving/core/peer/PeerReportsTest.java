package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against reports of some daemons that are counted twice, cut short or left out. */
class PeerReportsTest {

  private static PeerMessage message(
      Map<String, Integer> inFlight, List<Double> work, double pace, List<String> suspects) {
    return new PeerMessage(
        "a",
        "a",
        "south",
        1,
        1,
        "",
        0,
        LeaderEligibility.ELIGIBLE,
        true,
        false,
        PathReport.SOUND,
        inFlight,
        Map.of(),
        Map.of("large", work),
        Map.of("h", pace),
        suspects,
        List.of("r"),
        List.of(),
        List.of());
  }

  @Test
  void messagesAndDigestsAreSummed() {
    PeerMessage one = message(Map.of("h", 2, "i", 1), List.of(0.5), 3, List.of());
    PeerMessage other = message(Map.of("h", 1), List.of(0.25, 1.0), 2, List.of());
    DataCentreDigest digest = new DataCentreDigests("south").summarize(List.of(one), "a", 1);
    PeerReports reports = PeerReports.of(List.of(one, other), List.of(digest));
    assertThat(reports.inFlight()).containsOnly(Map.entry("h", 5), Map.entry("i", 2));
    assertThat(reports.offeredByUrgency()).containsOnly(Map.entry("large", List.of(1.25, 1.0)));
    assertThat(reports.paces()).containsOnly(Map.entry("h", 3.0));
    assertThat(reports.rejecting()).containsExactly("r");
  }

  @Test
  void suspicionEndsWithTheLastMessageThatNamesIt() {
    LeaderElection election = new LeaderElection("b", "south");
    election.receive(message(Map.of(), List.of(), 1, List.of("h@1")), 1);
    election.receive(message(Map.of(), List.of(), 1, List.of("h@1")), 2);
    assertThat(election.anySuspects()).isTrue();
    election.receive(message(Map.of(), List.of(), 1, List.of()), 3);
    assertThat(election.anySuspects()).isFalse();
  }
}
