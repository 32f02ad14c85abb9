package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against data centres whose daemons all turn callers away, and against lost warnings. */
class ShortageReadinessTest {

  private final List<PeerMessage> live = new ArrayList<>();

  private void hear(int count, String dataCentre, LeaderEligibility eligibility, boolean isShort) {
    for (int index = 0; index < count; index++) {
      live.add(message(dataCentre, eligibility, isShort));
    }
  }

  private static PeerMessage message(
      String dataCentre, LeaderEligibility eligibility, boolean isShort) {
    return new PeerMessage(
        "d",
        "127.0.0.1",
        dataCentre,
        1,
        1,
        "",
        0,
        eligibility,
        false,
        isShort,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /** Guards against a quarter that is counted over other data centres or together with itself. */
  @Test
  void shortDaemonStaysReadyOnlyIfMoreThanAQuarterOfItsDataCentreIsShort() {
    hear(6, "here", LeaderEligibility.ELIGIBLE, false);
    hear(2, "here", LeaderEligibility.WITHOUT_STORE, true);
    hear(9, "there", LeaderEligibility.WITHOUT_STORE, true);
    assertThat(ShortageReadiness.acceptsCallers("here", live)).isFalse();
    hear(1, "here", LeaderEligibility.WITHOUT_STORE, true);
    assertThat(ShortageReadiness.acceptsCallers("here", live)).isTrue();
  }

  /** Guards against a data centre without a ready daemon while the only other one restarts. */
  @Test
  void shortDaemonStaysReadyIfNoOtherCanTakeItsCallers() {
    hear(3, "there", LeaderEligibility.ELIGIBLE, false);
    hear(1, "here", LeaderEligibility.INELIGIBLE, false);
    assertThat(ShortageReadiness.acceptsCallers("here", live)).isTrue();
    hear(1, "here", LeaderEligibility.ELIGIBLE, false);
    assertThat(ShortageReadiness.acceptsCallers("here", live)).isFalse();
  }

  /** Guards against short daemons that make their neighbours doubt and probe the store. */
  @Test
  void shortDaemonDoesNotReportALostStore() {
    assertThat(message("here", LeaderEligibility.WITHOUT_STORE, true).reportsLostStore()).isFalse();
    assertThat(message("here", LeaderEligibility.WITHOUT_STORE, false).reportsLostStore()).isTrue();
  }
}
