package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against intervals that leave too little of the bound for everything else. */
class ConfigurationIntervalsTest {

  @ParameterizedTest
  @CsvSource({"1600, 400", "500, 400", "2000, 500", "3000, 750", "9000, 1000"})
  void intervalIsAQuarterOfTheBoundWithinItsLimits(int boundMillis, int intervalMillis) {
    assertThat(ConfigurationIntervals.intervalMillis(boundMillis)).isEqualTo(intervalMillis);
  }
}
