package org.fawnvale.serving.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/** Whether predicted times follow the engine's work, and whether a constant error is corrected. */
class HeadForecastTest {

  private static final ModelSpec MODEL = new ModelSpec("m", 4, 1, 0.5, 12_000, 1_100);
  private static final EngineSpec ENGINE =
      new EngineSpec(
          24,
          1_000_000,
          5,
          2_048,
          List.of(MODEL),
          6,
          0.3,
          0,
          46_000,
          0,
          14,
          21,
          300,
          new RequestSize(920, 100));
  private static final HeadForecast.HeadLoad IDLE = new HeadForecast.HeadLoad(0, 0, 0, 0);

  private final HeadForecast forecast = new HeadForecast();

  private HeadForecast.Prediction predict(HeadForecast.HeadLoad load, int promptTokens) {
    return forecast.predict(ENGINE, MODEL, load, new RequestSize(promptTokens, 100), 1);
  }

  /** Guards against a wrong unit: 920 tokens take 10 ms, a pass of one request takes 15.75 ms. */
  @Test
  void idleHeadPrefillsThePromptAndRunsOnePass() {
    assertThat(predict(IDLE, 920).firstMillis()).isBetween(25.7, 25.8);
    assertThat(predict(IDLE, 9_200).firstMillis()).isBetween(115.7, 115.8);
    assertThat(forecast.predict(ENGINE, MODEL, IDLE, RequestSize.UNKNOWN, 1))
        .isEqualTo(predict(IDLE, 920));
  }

  /** Guards against heads that look free because only requests are counted. */
  @Test
  void promptsThatWaitAndAQueueForPlacesDelayTheFirstEvent() {
    double streaming = predict(new HeadForecast.HeadLoad(10, 0, 0, 0), 920).firstMillis();
    double prompts = predict(new HeadForecast.HeadLoad(6, 4, 24_000, 0), 920).firstMillis();
    double full = predict(new HeadForecast.HeadLoad(24, 0, 0, 0), 920).firstMillis();
    double queue = predict(new HeadForecast.HeadLoad(24, 0, 0, 24), 920).firstMillis();
    assertThat(prompts).isGreaterThan(streaming + 250);
    assertThat(queue).isGreaterThan(full + 400);
  }

  /** Guards against slow groups that count as fast ones. */
  @Test
  void paceMultipliesAllTimes() {
    HeadForecast.HeadLoad load = new HeadForecast.HeadLoad(5, 1, 500, 7);
    RequestSize size = new RequestSize(300, 50);
    HeadForecast.Prediction slow = forecast.predict(ENGINE, MODEL, load, size, 12);
    HeadForecast.Prediction usual = forecast.predict(ENGINE, MODEL, load, size, 1);
    assertThat(slow.firstMillis()).isEqualTo(12 * usual.firstMillis());
    assertThat(slow.pauseMillis()).isEqualTo(12 * usual.pauseMillis());
  }

  /** Guards against a correction that is applied twice, or that a stall drives without bound. */
  @Test
  void correctsAConstantErrorWithinBounds() {
    for (int request = 0; request < 200; request++) {
      forecast.observe("m", predict(IDLE, 920), 1.6 * 25.75);
      forecast.observe("stalled", predict(IDLE, 920), 1e6);
      forecast.observe("fast", predict(IDLE, 920), 0);
    }
    assertThat(forecast.correction("m")).isBetween(1.59, 1.61);
    assertThat(predict(IDLE, 920).firstMillis()).isBetween(41.0, 41.4);
    assertThat(forecast.correction("stalled")).isEqualTo(2);
    assertThat(forecast.correction("fast")).isEqualTo(0.5);
  }

  /** Guards against heads that become more attractive with more work. */
  @Property(tries = 300)
  void moreWorkIsNeverFaster(
      @ForAll @IntRange(max = 60) int streaming,
      @ForAll @IntRange(max = 60) int waiting,
      @ForAll @IntRange(max = 60) int others,
      @ForAll @IntRange(max = 9_000) int prompt) {
    HeadForecast.HeadLoad load =
        new HeadForecast.HeadLoad(streaming, waiting, 700L * waiting, others);
    double first = predict(load, prompt).firstMillis();
    assertThat(first).isPositive();
    for (HeadForecast.HeadLoad more :
        List.of(
            new HeadForecast.HeadLoad(streaming + 1, waiting, 700L * waiting, others),
            new HeadForecast.HeadLoad(streaming, waiting + 1, 700L * waiting + 700, others),
            new HeadForecast.HeadLoad(streaming, waiting, 700L * waiting, others + 1))) {
      assertThat(predict(more, prompt).firstMillis()).isGreaterThanOrEqualTo(first - 1e-9);
    }
  }
}
