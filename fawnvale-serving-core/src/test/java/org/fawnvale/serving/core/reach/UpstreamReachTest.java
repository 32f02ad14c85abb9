package org.fawnvale.serving.core.reach;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a lost path that goes unnoticed, and sound paths that are given up. */
class UpstreamReachTest {

  private static final long MILLI = 1_000_000L;

  private final UpstreamReach reach = new UpstreamReach(0);

  @BeforeEach
  void knowUpstreams() {
    reach.setUpstreamCount(50);
  }

  private UpstreamReach.State stateAt(long millis) {
    return reach.state(millis * MILLI);
  }

  @Test
  void upstreamThatIsSilentForASecondIsNoLostPath() {
    reach.failed("a");
    assertThat(stateAt(1_500)).isEqualTo(UpstreamReach.State.REACHED);
  }

  @Test
  void daemonWithoutRequestsHasNotLostItsPath() {
    assertThat(stateAt(60_000)).isEqualTo(UpstreamReach.State.REACHED);
  }

  @Test
  void failuresBesideAnUpstreamThatAnswersAreNoLostPath() {
    for (int upstream = 0; upstream < 20; upstream++) {
      reach.failed("u" + upstream);
      reach.heard((100 + upstream) * MILLI);
    }
    assertThat(stateAt(2_000)).isEqualTo(UpstreamReach.State.REACHED);
  }

  @Test
  void pathIsDoubtfulOnceTwoUpstreamsFailAndLostOnceTheProbesDo() {
    reach.heard(1_000 * MILLI);
    reach.failed("a");
    reach.failed("a");
    assertThat(stateAt(1_100)).isEqualTo(UpstreamReach.State.REACHED);
    reach.failed("b");
    assertThat(stateAt(1_100)).isEqualTo(UpstreamReach.State.DOUBTFUL);
    assertThat(stateAt(3_000)).isEqualTo(UpstreamReach.State.DOUBTFUL);
    reach.failed("probed");
    assertThat(stateAt(1_300)).isEqualTo(UpstreamReach.State.DOUBTFUL);
    assertThat(stateAt(1_400)).isEqualTo(UpstreamReach.State.LOST);
  }

  @Test
  void anyAnswerBringsTheLostPathBack() {
    reach.failed("a");
    reach.failed("b");
    reach.failed("c");
    assertThat(stateAt(500)).isEqualTo(UpstreamReach.State.LOST);
    reach.heard(600 * MILLI);
    assertThat(stateAt(600)).isEqualTo(UpstreamReach.State.REACHED);
  }

  @Test
  void failureOfTheOnlyUpstreamIsALostPath() {
    reach.setUpstreamCount(1);
    reach.failed("a");
    assertThat(stateAt(500)).isEqualTo(UpstreamReach.State.LOST);
  }
}
