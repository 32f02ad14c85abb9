package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon without access to the store that treats the disappeared entry of a
 * draining node as expired, and keeps sending requests to the node.
 */
class StoreOutagesTest {

  private static final long MILLI = 1_000_000L;
  private static final int STEP = 50;

  private final StoreOutages outages = new StoreOutages();
  private int now;

  private void observe(int millis, boolean here, boolean others) {
    int lastAnswer = now;
    for (int until = now + millis; now < until; now += STEP) {
      lastAnswer = here ? now : lastAnswer;
      outages.observe(here, others, lastAnswer * MILLI, now * MILLI);
    }
  }

  private boolean mayHaveLapsed() {
    return outages.mayHaveExpired(now * MILLI);
  }

  @Test
  void entryIsGoneWhenOthersReachStore() {
    observe(1_000, true, true);
    observe(4_000, false, true);
    assertThat(mayHaveLapsed()).isFalse();
    observe(100, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }

  @Test
  void entryIsGoneWhenThisDaemonReachesStore() {
    observe(5_000, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }

  @Test
  void missingEntryMayHaveExpiredInFleetWideOutage() {
    observe(1_000, true, true);
    observe(500, false, true);
    observe(3_500, false, false);
    assertThat(mayHaveLapsed()).isTrue();
    observe(200, true, true);
    assertThat(mayHaveLapsed()).isTrue();
  }

  @Test
  void outageIsFleetWideWhenOthersRecoverEarlier() {
    observe(1_000, true, true);
    observe(300, false, true);
    observe(3_000, false, false);
    observe(800, false, true);
    observe(50, true, true);
    assertThat(mayHaveLapsed()).isTrue();
  }

  @Test
  void entryThatDisappearsLaterIsGone() {
    observe(1_000, true, true);
    observe(4_000, false, false);
    observe(2_100, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }

  @Test
  void shortOutageExpiresNoEntry() {
    observe(1_000, true, true);
    observe(2_000, false, false);
    assertThat(mayHaveLapsed()).isFalse();
    observe(50, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }
}
