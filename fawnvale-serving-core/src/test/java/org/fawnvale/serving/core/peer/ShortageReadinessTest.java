package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against data centres whose daemons all turn callers away, and against lost warnings. */
class ShortageReadinessTest {

  private static final long SECOND = 1_000_000_000L;

  private final List<PeerMessage> live = new ArrayList<>();

  private void hear(int count, String dataCentre, LeaderEligibility eligibility, boolean isShort) {
    LeaderElection election = new LeaderElection("d", dataCentre);
    for (int index = 0; index < count; index++) {
      live.add(PeerMessages.of("d", dataCentre, election, eligibility, isShort));
    }
  }

  private boolean acceptsCallers(long shortForNanos) {
    return ShortageReadiness.acceptsCallers(shortForNanos, "here", live);
  }

  /** Guards against a quarter of the wrong daemons, and against 503 before peers are heard. */
  @Test
  void shortDaemonIsReadyAtFirstAndIfMoreThanAQuarterOfItsDataCentreIsShort() {
    hear(6, "here", LeaderEligibility.ELIGIBLE, false);
    hear(2, "here", LeaderEligibility.WITHOUT_STORE, true);
    hear(9, "there", LeaderEligibility.WITHOUT_STORE, true);
    assertThat(acceptsCallers(SECOND / 2)).isTrue();
    assertThat(acceptsCallers(SECOND)).isFalse();
    hear(1, "here", LeaderEligibility.WITHOUT_STORE, true);
    assertThat(acceptsCallers(SECOND)).isTrue();
  }

  /** Guards against a data centre without a ready daemon while the only other one restarts. */
  @Test
  void shortDaemonStaysReadyIfNoOtherCanTakeItsCallers() {
    hear(3, "there", LeaderEligibility.ELIGIBLE, false);
    hear(1, "here", LeaderEligibility.INELIGIBLE, false);
    assertThat(acceptsCallers(SECOND)).isTrue();
  }

  /** Guards against short daemons that make their neighbours doubt and probe the store. */
  @Test
  void shortDaemonDoesNotReportALostStore() {
    hear(1, "here", LeaderEligibility.WITHOUT_STORE, true);
    hear(1, "here", LeaderEligibility.WITHOUT_STORE, false);
    assertThat(live).extracting(PeerMessage::reportsLostStore).containsExactly(false, true);
  }
}
