package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How an admitted share is divided between workspaces and between small and large requests. */
class FairSharesTest {

  private static final long MILLI = 1_000_000L;

  private final FairShares shares = new FairShares();
  private final Map<String, Double> admitted = new HashMap<>();

  private void offer(String workspace, double work, double share, long millis) {
    if (shares.admit(workspace, work, share, millis * MILLI)) {
      admitted.merge(workspace, work, Double::sum);
    }
  }

  /** Guards against a workspace that takes the time of the others by asking for more. */
  @Test
  void smallWorkspacesAreServedWholeWhileALargeOneIsCut() {
    for (long millis = 0; millis < 20_000; millis += 10) {
      offer("large", 40, 0.5, millis);
      if (millis % 40 == 0) {
        offer("middle", 40, 0.5, millis);
      }
      if (millis % 400 == 0) {
        offer("small", 40, 0.5, millis);
      }
    }
    assertThat(admitted.get("small")).isGreaterThan(0.95 * 50 * 40);
    assertThat(admitted.get("middle")).isGreaterThan(0.95 * 500 * 40);
    double all = (2_000 + 500 + 50) * 40;
    assertThat(admitted.values().stream().mapToDouble(work -> work).sum())
        .isBetween(0.47 * all, 0.53 * all);
  }

  /** Guards against large prompts that always lose to small ones of the same workspace. */
  @Test
  void largeRequestsAreAdmittedAsOftenAsSmallOnes() {
    int large = 0;
    int small = 0;
    for (int request = 0; request < 7_000; request++) {
      boolean isLarge = request % 7 == 0;
      boolean admits = shares.admit("w", isLarge ? 400 : 20, 0.3, request * 5 * MILLI);
      large += admits && isLarge ? 1 : 0;
      small += admits && !isLarge ? 1 : 0;
    }
    assertThat(large / 1_000.0).isBetween(0.27, 0.33);
    assertThat(small / 6_000.0).isBetween(0.27, 0.33);
  }

  /** Guards against state that grows with the names that callers come with. */
  @Test
  void thousandsOfWorkspacesAreDivided() {
    int count = 0;
    for (int request = 0; request < 20_000; request++) {
      count += shares.admit("w" + request % 5_000, 30, 0.4, request * MILLI) ? 1 : 0;
    }
    assertThat(count).isBetween(6_000, 12_000);
  }

  /** Guards against refusals while everything is admitted. */
  @Test
  void wholeShareRefusesNothing() {
    for (int request = 0; request < 100; request++) {
      assertThat(shares.admit("w", 30, 1, request)).isTrue();
    }
  }
}
