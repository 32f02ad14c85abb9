package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DataCentreDigestsTest {

  private static final long SECOND = 1_000_000_000L;

  private final DataCentreDigests digests = new DataCentreDigests("north");

  private static PeerMessage message(
      String name, Map<String, Integer> inFlight, List<String> suspects) {
    return new PeerMessage(
        name,
        "at-" + name,
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
        Map.of("large", 0.5),
        Map.of("large", List.of(0.25, 0.125)),
        Map.of("h", 2.0 + inFlight.size()),
        suspects,
        List.of("r-" + name, "r"),
        List.of(),
        List.of());
  }

  private static DataCentreDigest south(long sequence) {
    return south("a", sequence);
  }

  private static DataCentreDigest south(String relay, long sequence) {
    return new DataCentreDigests("south")
        .summarize(
            List.of(
                message("a", Map.of("h", 2), List.of("h@1")),
                message("b", Map.of("h", 3, "i", 1), List.of("h@1")),
                message("c", Map.of(), List.of("h@1", "i@4"))),
            relay,
            sequence);
  }

  @Test
  void requestsAndLoadAreAddedUp() {
    DataCentreDigest digest = south(1);
    assertThat(digest.inFlight()).containsExactlyInAnyOrderEntriesOf(Map.of("h", 5, "i", 1));
    assertThat(digest.offeredWork()).containsEntry("large", 1.5);
    assertThat(digest.offeredByUrgency()).containsEntry("large", List.of(0.75, 0.375));
    assertThat(digest.members()).extracting(DataCentreDigest.Member::name).contains("a", "b", "c");
  }

  @Test
  void slowestObservedPaceIsKept() {
    assertThat(south(1).paces()).containsEntry("h", 4.0);
  }

  @Test
  void workListsOfDifferentLengthAreAdded() {
    assertThat(DataCentreDigests.add(List.of(1.0), List.of(2.0, 3.0))).containsExactly(3.0, 3.0);
  }

  @Test
  void suspicionOfSeveralDaemonsIsListedTwice() {
    assertThat(south(1).suspects()).containsExactlyInAnyOrder("h@1", "h@1", "i@4");
  }

  @Test
  void rejectingHeadsAreListedOnce() {
    assertThat(south(1).refusing()).containsExactly("r", "r-a", "r-b", "r-c");
  }

  @Test
  void olderDigestIsIgnored() {
    assertThat(digests.receive(south(10), 0)).isTrue();
    assertThat(digests.receive(south(9), SECOND / 10)).isFalse();
    assertThat(digests.receive(south(11), SECOND / 5)).isTrue();
  }

  @Test
  void digestsOfNewRelayApplyAtOnceAndOfRestartedOneAfterExpiry() {
    digests.receive(south("a", 1_000), 0);
    assertThat(digests.receive(south("b", 10), SECOND / 10)).isTrue();
    digests.receive(south("a", 1_001), SECOND / 5);
    assertThat(digests.receive(south("a", 1), SECOND)).isFalse();
    assertThat(digests.receive(south("a", 2), 2 * SECOND)).isTrue();
  }

  @Test
  void digestExpires() {
    digests.receive(south(1), 0);
    assertThat(digests.fresh(SECOND)).containsKey("south");
    assertThat(digests.fresh(2 * SECOND)).isEmpty();
  }
}
