package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Who has waited before, as far as deadlines tell. */
class CallerRetryDetectorTest {

  private static final String ROUTE = "route";
  private static final int TRIES = 1_000;

  private final CallerRetryDetector callers = new CallerRetryDetector();
  private final Random random = new Random(11);

  @Test
  void whereAllSetOneDeadlineThoseWithLessTimeLeftHaveComeBack() {
    int recognized = 0;
    int mistaken = 0;
    int returns = 0;
    for (int each = 0; each < TRIES; each++) {
      boolean returns20Percent = each % 5 == 4;
      long patience = returns20Percent ? 5_000 + random.nextInt(600) : 6_000;
      boolean told = callers.isRetry(ROUTE, patience);
      returns += returns20Percent ? 1 : 0;
      recognized += told && returns20Percent ? 1 : 0;
      mistaken += told && !returns20Percent ? 1 : 0;
    }
    assertThat(recognized).isGreaterThan(returns * 95 / 100);
    assertThat(mistaken).isZero();
  }

  @Test
  void aFewCallersWithLongDeadlinesDoNotMakeTheOthersSeemToReturn() {
    int mistaken = 0;
    for (int each = 0; each < TRIES; each++) {
      mistaken += callers.isRetry(ROUTE, each % 25 == 3 ? 9_000 : 6_000) ? 1 : 0;
    }
    assertThat(mistaken).isZero();
  }

  /** A daemon sees few tries of each route; the first ones must not look like a usual deadline. */
  @Test
  void withFewTriesOfEachRouteNobodyIsHeldToComeBackEither() {
    int mistaken = 0;
    for (int each = 0; each < TRIES; each++) {
      long patience = 5_100 + random.nextInt(1_800);
      mistaken += callers.isRetry("route" + each / 5, patience) ? 1 : 0;
    }
    assertThat(mistaken).isLessThan(TRIES * 3 / 100);
  }

  /** Before, 63 in 100 first tries of such callers were taken for returns. */
  @Test
  void whereDeadlinesDifferHardlyAnyFirstTryIsHeldToBeAReturn() {
    int mistaken = 0;
    for (int each = 0; each < TRIES; each++) {
      long patience = 5_100 + random.nextInt(1_800);
      mistaken += callers.isRetry(ROUTE, patience) ? 1 : 0;
    }
    assertThat(mistaken).isLessThan(TRIES * 3 / 100);
  }

  /**
   * Those that come back after 1.4 to 1.9 s, as RetryAfterPolicy tells callers with six seconds.
   */
  @Test
  void whereDeadlinesDifferThoseWithLessTimeThanNearlyAllOthersHaveComeBack() {
    int recognized = 0;
    int mistaken = 0;
    for (int each = 0; each < TRIES; each++) {
      long patience = 5_100 + random.nextInt(1_800);
      mistaken += callers.isRetry(ROUTE, patience) ? 1 : 0;
      long again = 5_100 + random.nextInt(1_800) - 1_400 - random.nextInt(500);
      recognized += each > TRIES / 2 && callers.isRetry(ROUTE, again) ? 1 : 0;
    }
    assertThat(mistaken).isLessThan(TRIES * 3 / 100);
    assertThat(recognized).isGreaterThan(TRIES / 2 * 90 / 100);
  }

  @Test
  void eachRouteHasItsOwnDeadline() {
    for (int each = 0; each < TRIES; each++) {
      assertThat(callers.isRetry("short", 600)).isFalse();
      assertThat(callers.isRetry("long", 8_000)).isFalse();
    }
  }
}
