package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon without access to the store that treats the disappeared entry of a
 * draining node as expired, and keeps sending requests to the node.
 */
class StoreOutagesTest {

  private static final long MILLI = 1_000_000L;
  private static final int STEP_MILLIS = 50;

  private final StoreOutages outages = new StoreOutages();
  private int now;

  private void observe(int millis, boolean here, boolean others) {
    int lastResponse = now;
    for (int until = now + millis; now < until; now += STEP_MILLIS) {
      lastResponse = here ? now : lastResponse;
      outages.observe(here, others, lastResponse * MILLI, now * MILLI);
    }
  }

  private boolean mayHaveExpired() {
    return outages.mayHaveExpired(now * MILLI);
  }

  @Test
  void entryIsGoneWhenOthersReachStore() {
    observe(1_000, true, true);
    observe(4_000, false, true);
    assertThat(mayHaveExpired()).isFalse();
    observe(100, true, true);
    assertThat(mayHaveExpired()).isFalse();
  }

  @Test
  void entryIsGoneWhenThisDaemonReachesStore() {
    observe(5_000, true, true);
    assertThat(mayHaveExpired()).isFalse();
  }

  @Test
  void missingEntryMayHaveExpiredInFleetWideOutage() {
    observe(1_000, true, true);
    observe(500, false, true);
    observe(3_500, false, false);
    assertThat(mayHaveExpired()).isTrue();
    observe(200, true, true);
    assertThat(mayHaveExpired()).isTrue();
  }

  @Test
  void outageIsFleetWideWhenOthersRecoverEarlier() {
    observe(1_000, true, true);
    observe(300, false, true);
    observe(3_000, false, false);
    observe(800, false, true);
    observe(50, true, true);
    assertThat(mayHaveExpired()).isTrue();
  }

  @Test
  void entryThatDisappearsLaterIsGone() {
    observe(1_000, true, true);
    observe(4_000, false, false);
    observe(2_100, true, true);
    assertThat(mayHaveExpired()).isFalse();
  }

  @Test
  void shortOutageExpiresNoEntry() {
    observe(1_000, true, true);
    observe(2_000, false, false);
    assertThat(mayHaveExpired()).isFalse();
    observe(50, true, true);
    assertThat(mayHaveExpired()).isFalse();
  }
}
