package org.fawnvale.serving.core.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests during a stop with a grace period of eight seconds, which ends them at 7.3 s. */
class StopAdmissionTest {

  private static final long MILLI = 1_000_000L;

  /** Monotonic clocks may begin anywhere; this one overflows during the stop. */
  private static final long BEGUN = Long.MAX_VALUE - 2_000 * MILLI;

  private static final long FAR = 60_000;
  private static final String ROUTE = "commit";

  private final RouteDurations durations = new RouteDurations();
  private final StopSchedule schedule = new StopSchedule(BEGUN, 8_000);
  private final StopAdmission admission = new StopAdmission(schedule, durations);

  private void record(long... millis) {
    for (long duration : millis) {
      durations.record(ROUTE, duration * MILLI);
    }
  }

  private boolean mayBegin(long atMillis, long deadlineMillis) {
    return admission.mayBegin(ROUTE, at(deadlineMillis), at(atMillis));
  }

  private static long at(long millis) {
    return BEGUN + millis * MILLI;
  }

  @Test
  void requestBeginsOnlyWhileItsUsualTimeIsLeft() {
    record(5_000, 5_000, 5_000, 5_000);
    assertThat(mayBegin(2_300, FAR)).isTrue();
    assertThat(mayBegin(2_301, FAR)).isFalse();
  }

  @Test
  void requestThatHasToBeAnsweredBeforeTheEndBegins() {
    record(5_000, 5_000, 5_000, 5_000);
    assertThat(mayBegin(2_900, 7_300)).isTrue();
    assertThat(mayBegin(2_900, 7_301)).isFalse();
  }

  @Test
  void requestsOfUnknownDurationBegin() {
    assertThat(mayBegin(2_900, FAR)).isTrue();
    record(5_000, 5_000, 5_000);
    assertThat(mayBegin(2_900, FAR)).isTrue();
    assertThat(admission.mayBegin("other", at(FAR), at(2_900))).isTrue();
  }

  /** Guards against a refusal of short requests for the sake of a few long ones. */
  @Test
  void halfOfTheRequestsBeingShortIsEnough() {
    record(20_000, 10, 20_000, 10);
    assertThat(mayBegin(2_900, FAR)).isTrue();
    record(20_000);
    assertThat(mayBegin(2_900, FAR)).isFalse();
  }

  @Test
  void oldRequestsCountNoMore() {
    record(5_000, 5_000, 5_000, 5_000);
    for (int request = 0; request < 32; request++) {
      record(10);
    }
    record(5_000, 5_000);
    assertThat(durations.usualNanos(ROUTE)).hasValue(10 * MILLI);
  }

  @Test
  void nothingBeginsAfterTheEnd() {
    assertThat(mayBegin(7_299, 7_300)).isTrue();
    assertThat(mayBegin(7_300, 7_300)).isFalse();
  }

  @Test
  void newRequestsAreRefusedOnceTheBalancerSendsNone() {
    assertThat(admission.isRefusingNew(at(2_999))).isFalse();
    assertThat(admission.isRefusingNew(at(3_000))).isTrue();
  }

  @Test
  void lastAnswersAreWrittenBeforeTheGraceEnds() {
    assertThat(schedule.writeOutLeftNanos(at(7_300))).isEqualTo(300 * MILLI);
    assertThat(schedule.writeOutLeftNanos(at(7_600))).isZero();
  }

  /** Guards against refusals of requests that end while the process runs on for the balancer. */
  @Test
  void shortGracePeriodEndsNoRequestWhileTheBalancerStillSends() {
    StopSchedule shortest = new StopSchedule(BEGUN, 2_000);
    assertThat(shortest.leftNanos(at(2_000))).isEqualTo(1_000 * MILLI);
    assertThat(new StopAdmission(shortest, durations).mayBegin(ROUTE, at(FAR), at(2_000))).isTrue();
  }
}
