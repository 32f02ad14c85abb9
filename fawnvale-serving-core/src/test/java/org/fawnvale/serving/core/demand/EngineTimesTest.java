package org.fawnvale.serving.core.demand;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/** Guards against one caller whose stated numbers outweigh the demand of all others. */
class EngineTimesTest {

  private static final int KV_TOKENS = 1_000_000;
  private static final ModelSpec MODEL = new ModelSpec("m", 4, 1, 1, 16_000, 1_600);

  private static EngineSpec engine(long kvTokens) {
    return new EngineSpec(
        18,
        kvTokens,
        4,
        512,
        List.of(MODEL),
        6,
        0.1,
        0.1,
        50_000,
        0.01,
        1,
        1,
        100,
        new RequestSize(1_000, 100));
  }

  private static double work(long kvTokens, int prompt, int answer) {
    return EngineTimes.workMillis(engine(kvTokens), MODEL, new RequestSize(prompt, answer));
  }

  @Test
  void requestCountsForNoMoreThanAnEngineHolds() {
    double largest = work(KV_TOKENS, KV_TOKENS, KV_TOKENS);
    assertThat(work(KV_TOKENS, Integer.MAX_VALUE, Integer.MAX_VALUE)).isEqualTo(largest);
    assertThat(work(KV_TOKENS, KV_TOKENS / 2, 10)).isLessThan(largest);
    assertThat(work(0, 2_000, 10)).isEqualTo(work(KV_TOKENS, 2_000, 10));
  }
}
