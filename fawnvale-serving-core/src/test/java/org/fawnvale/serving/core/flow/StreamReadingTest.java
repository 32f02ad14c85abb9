package org.fawnvale.serving.core.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against old events, read late, that hide the stall of an upstream. */
class StreamReadingTest {

  private static final long MILLI = 1_000_000L;

  private final StreamReading reading = new StreamReading();

  @Test
  void streamIsCurrentAgainOnlyAfterASecondWithoutSuspension() {
    assertThat(reading.isCurrent(0)).isTrue();
    reading.suspend();
    assertThat(reading.isCurrent(60_000 * MILLI)).isFalse();
    reading.resume(60_000 * MILLI);
    assertThat(reading.isCurrent(60_999 * MILLI)).isFalse();
    reading.suspend();
    reading.resume(61_000 * MILLI);
    assertThat(reading.isCurrent(61_999 * MILLI)).isFalse();
    assertThat(reading.isCurrent(62_000 * MILLI)).isTrue();
  }
}
