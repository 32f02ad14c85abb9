package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which requests count as retries by the time that they have left. */
class CallerRetryDetectorTest {

  private static final String ROUTE = "route";
  private static final int ATTEMPTS = 1_000;

  private final CallerRetryDetector callers = new CallerRetryDetector();
  private final Random random = new Random(11);

  @Test
  void withACommonDeadlineRequestsWithLessTimeAreRetries() {
    int recognized = 0;
    int mistaken = 0;
    int retries = 0;
    for (int each = 0; each < ATTEMPTS; each++) {
      boolean isRetry = each % 5 == 4;
      long remaining = isRetry ? 5_000 + random.nextInt(600) : 6_000;
      boolean detected = callers.isRetry(ROUTE, remaining);
      retries += isRetry ? 1 : 0;
      recognized += detected && isRetry ? 1 : 0;
      mistaken += detected && !isRetry ? 1 : 0;
    }
    assertThat(recognized).isGreaterThan(retries * 95 / 100);
    assertThat(mistaken).isZero();
  }

  @Test
  void fewLongDeadlinesDoNotTurnOtherRequestsIntoRetries() {
    int mistaken = 0;
    for (int each = 0; each < ATTEMPTS; each++) {
      mistaken += callers.isRetry(ROUTE, each % 25 == 3 ? 9_000 : 6_000) ? 1 : 0;
    }
    assertThat(mistaken).isZero();
  }

  @Test
  void withFewAttemptsPerRouteHardlyAnyCountsAsRetry() {
    int mistaken = 0;
    for (int each = 0; each < ATTEMPTS; each++) {
      long remaining = 5_100 + random.nextInt(1_800);
      mistaken += callers.isRetry("route" + each / 5, remaining) ? 1 : 0;
    }
    assertThat(mistaken).isLessThan(ATTEMPTS * 3 / 100);
  }

  @Test
  void withDifferentDeadlinesHardlyAnyFirstAttemptCountsAsRetry() {
    int mistaken = 0;
    for (int each = 0; each < ATTEMPTS; each++) {
      long remaining = 5_100 + random.nextInt(1_800);
      mistaken += callers.isRetry(ROUTE, remaining) ? 1 : 0;
    }
    assertThat(mistaken).isLessThan(ATTEMPTS * 3 / 100);
  }

  /**
   * Retries arrive after 1.4 to 1.9 s, as {@link RetryAfterPolicy} asks of callers with six
   * seconds.
   */
  @Test
  void withDifferentDeadlinesTheShortestRequestsAreRetries() {
    int recognized = 0;
    int mistaken = 0;
    for (int each = 0; each < ATTEMPTS; each++) {
      long remaining = 5_100 + random.nextInt(1_800);
      mistaken += callers.isRetry(ROUTE, remaining) ? 1 : 0;
      long retry = 5_100 + random.nextInt(1_800) - 1_400 - random.nextInt(500);
      recognized += each > ATTEMPTS / 2 && callers.isRetry(ROUTE, retry) ? 1 : 0;
    }
    assertThat(mistaken).isLessThan(ATTEMPTS * 3 / 100);
    assertThat(recognized).isGreaterThan(ATTEMPTS / 2 * 90 / 100);
  }

  @Test
  void eachRouteHasItsOwnDeadline() {
    for (int each = 0; each < ATTEMPTS; each++) {
      assertThat(callers.isRetry("short", 600)).isFalse();
      assertThat(callers.isRetry("long", 8_000)).isFalse();
    }
  }
}
