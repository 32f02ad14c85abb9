package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.fawnvale.serving.core.watch.CopyDelays;
import org.junit.jupiter.api.Test;

/** Delay and rate of fetches while many peers advertise a newer copy. */
class CopyPacingTest {

  private static final long MILLI = 1_000_000L;

  private final CopyPacing pacing = new CopyPacing(CopyDelays.CONFIGURATION);

  private int countFetches(int millis, boolean watches, boolean isNear) {
    int started = 0;
    for (int now = 0; now < millis; now += 10) {
      int delay = pacing.delayMillis(watches, isNear, now * MILLI);
      boolean isWithin = now + delay < millis;
      boolean startedLater = delay > 0 && isWithin && pacing.tryStartFetch((now + delay) * MILLI);
      boolean startedNow = delay == 0 && pacing.tryStartFetch(now * MILLI);
      started += startedLater || startedNow ? 1 : 0;
    }
    return started;
  }

  @Test
  void fetchesFromNearPeerAtOnceAndThenOncePerInterval() {
    assertThat(pacing.delayMillis(false, true, 0)).isZero();
    assertThat(countFetches(1_500, false, true)).isBetween(9, 10);
  }

  @Test
  void schedulesNearFetchForTheEndOfTheInterval() {
    assertThat(pacing.delayMillis(false, true, 0)).isZero();
    assertThat(pacing.tryStartFetch(0)).isTrue();
    assertThat(pacing.delayMillis(false, true, 100 * MILLI)).isEqualTo(50);
    assertThat(pacing.delayMillis(false, true, 110 * MILLI)).isEqualTo(CopyPacing.NEVER);
    assertThat(pacing.tryStartFetch(150 * MILLI)).isTrue();
  }

  @Test
  void delaysFarFetchAndIgnoresFurtherAdvertisements() {
    assertThat(pacing.delayMillis(false, false, 0)).isEqualTo(700);
    assertThat(pacing.delayMillis(false, false, 10 * MILLI)).isEqualTo(CopyPacing.NEVER);
    assertThat(countFetches(3_000, false, false)).isLessThanOrEqualTo(5);
  }

  @Test
  void delaysFetchOfDaemonThatWatchesTheStore() {
    assertThat(pacing.delayMillis(true, true, 0)).isEqualTo(600);
    assertThat(pacing.delayMillis(true, true, 10 * MILLI)).isEqualTo(CopyPacing.NEVER);
  }

  @Test
  void fetchesFromNearPeerDuringTheDelayOfAFarFetch() {
    pacing.delayMillis(false, false, 0);
    assertThat(pacing.delayMillis(false, true, 10 * MILLI)).isZero();
  }
}
