package org.fawnvale.serving.core.admission;

import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;

/**
 * A request that is placed by forecast: its size, and by when its caller expects events.
 *
 * @param engine the performance parameters of the engines that serve the request
 * @param model the model that the request names
 * @param size the size that the request declares
 * @param receivedNanos the monotonic time at which the request was received, in nanoseconds
 * @param targetMillis the target time from then to the first event, in milliseconds; above 0
 * @param gapMillis the target for the longest pause between events, in milliseconds; 0 if there is
 *     none
 * @param tolerance the predicted time relative to the remaining time from which on a first attempt
 *     is refused
 */
public record ForecastTarget(
    EngineSpec engine,
    ModelSpec model,
    RequestSize size,
    long receivedNanos,
    int targetMillis,
    int gapMillis,
    double tolerance) {

  /**
   * The usual {@link #tolerance}. Other requests in flight are known 150 to 600 ms late, so a
   * forecast is off by about a quarter in either direction; a request that is refused within this
   * error might have been in time.
   */
  public static final double USUAL_TOLERANCE = 1.25;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Returns the cost of a head: the predicted times relative to their targets. Pauses count here
   * but refuse nothing, since the predicted pause assumes that a usual prompt arrives in every
   * pass.
   *
   * @param prediction the predicted times at the head
   * @return 1 when one of them is just in time
   */
  public double cost(HeadForecast.Prediction prediction) {
    double first = prediction.firstMillis() / targetMillis;
    return gapMillis > 0 ? Math.max(first, prediction.pauseMillis() / gapMillis) : first;
  }

  /**
   * Tells whether the first event would clearly be late.
   *
   * @param prediction the predicted times at the head
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true when the forecast exceeds the remaining time by more than its usual error
   */
  public boolean isMissed(HeadForecast.Prediction prediction, long nowNanos) {
    double remainingMillis = targetMillis - (nowNanos - receivedNanos) / NANOS_PER_MILLI;
    return prediction.firstMillis() > tolerance * remainingMillis;
  }
}
