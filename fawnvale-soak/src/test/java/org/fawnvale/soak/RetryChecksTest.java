package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.fleet.EdgeDaemon;
import org.junit.jupiter.api.Test;

/** The checks of retries and of daemons that end accept histories just within their bounds only. */
class RetryChecksTest {

  private static final int REQUESTS = 100;
  private static final int ALLOWED =
      (int) (EdgeDaemon.RETRY_RATIO * REQUESTS) + EdgeDaemon.RETRY_SLACK;

  private final List<Event> events = new ArrayList<>();

  private static long nanos(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  private Verdict judge(String check) {
    return Checks.all(500, 4_000).get(check).judge(new RunHistory(events));
  }

  private void sendRequests(double atSeconds, RequestKind kind) {
    for (int number = 0; number < REQUESTS; number++) {
      events.add(new Event.Sent(nanos(atSeconds), "a-" + number, 0, kind));
      events.add(new Event.Arrived(nanos(atSeconds), "a-" + number, "pa1"));
    }
  }

  private void retry(int count, double atSeconds) {
    for (int number = 0; number < count; number++) {
      events.add(new Event.Arrived(nanos(atSeconds), "a-" + number % REQUESTS, "pa2"));
    }
  }

  @Test
  void retriesUpToRatioAndSlackAreAllowed() {
    sendRequests(1, RequestKind.SAFE);
    retry(ALLOWED, 2);
    assertThat(judge("retries-in-budget").breaches()).isEmpty();
    assertThat(judge("retries-in-budget").tempted()).isEqualTo(ALLOWED);
  }

  @Test
  void oneRetryBeyondRatioAndSlackIsABreach() {
    sendRequests(1, RequestKind.SAFE);
    retry(ALLOWED, 2);
    retry(1, 11);
    assertThat(judge("retries-in-budget").breaches()).hasSize(1);
  }

  @Test
  void nearestWindowIsTheOneWithTheLargestShareOfItsBound() {
    sendRequests(1, RequestKind.SAFE);
    retry(ALLOWED / 2, 2);
    retry(ALLOWED / 4, 8);
    assertThat(RetryCheck.nearest(new RunHistory(events)))
        .isEqualTo(new RetryCheck.Nearness(ALLOWED / 2 + ALLOWED / 4, ALLOWED));
  }

  @Test
  void retriesOfTwoWindowsAreNotAdded() {
    sendRequests(1, RequestKind.SAFE);
    retry(ALLOWED, 2);
    retry(1, 12.5);
    assertThat(judge("retries-in-budget").breaches()).isEmpty();
  }

  @Test
  void requestsToAnotherServiceAllowNoRetries() {
    sendRequests(1, RequestKind.STREAM);
    retry(ALLOWED, 2);
    assertThat(judge("retries-in-budget").breaches()).hasSize(1);
  }

  @Test
  void daemonThatEndsWithoutASignalIsABreach() {
    events.add(new Event.DaemonSeen(nanos(20), 0, false));
    assertThat(judge("daemons-run-on").breaches()).hasSize(1);
  }

  @Test
  void daemonThatWasStoppedBeforeMayBeGone() {
    events.add(new Event.Signalled(nanos(19), 0, "stop"));
    events.add(new Event.DaemonSeen(nanos(20), 0, false));
    assertThat(judge("daemons-run-on").breaches()).isEmpty();
    assertThat(judge("daemons-run-on").tempted()).isZero();
  }
}
