package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.fawnvale.serving.core.peer.ProcessorShortage;
import org.junit.jupiter.api.Test;

/** Guards against effects without the switch, and changes that peers are not told of. */
class ShortageUpdatesTest {

  private static final long SECOND = 1_000_000_000L;

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  private ShortageUpdates updates(boolean enabled) {
    return new ShortageUpdates(enabled, new ProcessorShortage(0, SECOND / 40), registry);
  }

  /** Guards against deployments without the switch that are served in another way. */
  @Test
  void nothingIsObservedOrReportedWhileThePolicyIsOff() {
    ShortageUpdates updates = updates(false);
    assertThat(updates.tick(20 * SECOND)).isFalse();
    assertThat(updates.isShort()).isFalse();
    assertThat(registry.getMeters()).isEmpty();
  }

  /** Guards against a begin or end that is not reported, or reported again with each tick. */
  @Test
  void beginAndEndAreReportedOnceAndShownByTheGauge() {
    ShortageUpdates updates = updates(true);
    assertThat(updates.tick(20 * SECOND)).isTrue();
    assertThat(updates.tick(20 * SECOND + SECOND / 40)).isFalse();
    assertThat(registry.get("fawnvale.shortage").gauge().value()).isEqualTo(1);
    boolean changed = false;
    for (long now = 20 * SECOND + SECOND / 20; !changed && now < 30 * SECOND; now += SECOND / 40) {
      changed = updates.tick(now);
    }
    assertThat(changed).isTrue();
    assertThat(registry.get("fawnvale.shortage").gauge().value()).isZero();
  }
}
