package org.fawnvale.serving.gateway;

import org.fawnvale.serving.core.admission.ForecastTarget;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.fawnvale.serving.core.dispatch.UpstreamState;

/**
 * One attempt at one head whose times were predicted. Counts its prompt as waiting until its first
 * event, and compares that event with the prediction. Callers hold the lock.
 */
final class ForecastedRequest {

  private static final double NANOS_PER_MILLI = 1e6;

  private final HeadForecast forecast;
  private final HeadForecast.Prediction prediction;
  private final ForecastTarget target;
  private final UpstreamState state;
  private final GatewayMetrics metrics;
  private final long sentNanos;
  private final int promptTokens;
  private boolean waiting = true;

  ForecastedRequest(
      HeadForecast forecast,
      HeadForecast.Prediction prediction,
      ForecastTarget target,
      UpstreamState state,
      GatewayMetrics metrics,
      long sentNanos) {
    this.forecast = forecast;
    this.prediction = prediction;
    this.target = target;
    this.state = state;
    this.metrics = metrics;
    this.sentNanos = sentNanos;
    int declared = target.size().promptTokens();
    this.promptTokens = declared > 0 ? declared : target.engine().usual().promptTokens();
    state.promptSent(promptTokens);
  }

  /** Records the first event. */
  void firstEvent(long nowNanos) {
    if (waiting) {
      double observedMillis = (nowNanos - sentNanos) / NANOS_PER_MILLI;
      String model = target.model().name();
      forecast.observe(model, prediction, observedMillis);
      metrics.forecast(model, prediction.firstMillis(), observedMillis);
      ended();
    }
  }

  /** Ends the count of its prompt; without effect after the first event. */
  void ended() {
    if (waiting) {
      waiting = false;
      state.promptAnswered(promptTokens);
    }
  }
}
