package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.fawnvale.serving.core.peer.ProcessorShortage;
import org.junit.jupiter.api.Test;

/** Guards against effects without the switch, and changes that peers are not told of. */
class ShortageUpdatesTest {

  private static final long SECOND = 1_000_000_000L;

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final ProcessorShortage shortage = new ProcessorShortage(0, SECOND / 40);

  /** Guards against deployments without the switch that are served in another way. */
  @Test
  void nothingIsObservedOrReportedWhileThePolicyIsOff() {
    ShortageUpdates updates = new ShortageUpdates(false, shortage, registry);
    assertThat(updates.tick(20 * SECOND)).isFalse();
    assertThat(updates.isShort()).isFalse();
    assertThat(registry.getMeters()).isEmpty();
  }

  /** Guards against a begin or end that is not reported, or reported again with each tick. */
  @Test
  void beginAndEndAreReportedOnceAndShownByTheGauge() {
    ShortageUpdates updates = new ShortageUpdates(true, shortage, registry);
    assertThat(updates.tick(20 * SECOND)).isTrue();
    assertThat(registry.get("fawnvale.shortage").gauge().value()).isEqualTo(1);
    int changes = 0;
    for (int tick = 1; tick <= 100; tick++) {
      changes += updates.tick(20 * SECOND + tick * SECOND / 40) ? 1 : 0;
    }
    assertThat(changes).isEqualTo(1);
    assertThat(registry.get("fawnvale.shortage").gauge().value()).isZero();
  }
}
