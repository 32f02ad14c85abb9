package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which requests to plain services are refused first. */
class PlainAdmissionTest {

  private static final long SECOND = 1_000_000_000L;

  private final PlainAdmission admission = new PlainAdmission();

  /** Guards against a queue that less urgent requests fill before more urgent ones. */
  @Test
  void lessUrgentRequestsLeaveTheQueueToMoreUrgentOnes() {
    assertThat(admission.admit("s", 1, 2.9, 0)).isTrue();
    assertThat(admission.admit("s", 5, 1.4, 1)).isTrue();
    assertThat(admission.admit("s", 5, 1.5, 1)).isFalse();
    assertThat(admission.admit("s", 8, 0.9, 2)).isTrue();
    assertThat(admission.admit("s", 8, 1.0, 2)).isFalse();
    assertThat(admission.admit("s", 1, 2.9, 3)).isTrue();
  }

  /** Guards against a shorter queue for callers that have no more urgent ones beside them. */
  @Test
  void theMostUrgentPresentRequestsKeepTheUsualBound() {
    assertThat(admission.admit("s", 9, 2.9, 0)).isTrue();
    assertThat(admission.admit("s", 2, 2.9, 1)).isTrue();
    assertThat(admission.admit("s", 9, 2.9, SECOND)).isFalse();
    assertThat(admission.admit("other", 9, 2.9, SECOND)).isTrue();
    assertThat(admission.admit("s", 9, 2.9, 3 * SECOND)).isTrue();
  }
}
