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
 * @param limit for a first attempt, the predicted time to the first event relative to the remaining
 *     time from which on it is late; for a returning caller, the largest admissible {@link #cost}
 * @param refusedIfLate whether a first attempt is refused that is late at every head. Otherwise it
 *     is sent to a head that has a free slot
 */
public record ForecastTarget(
    EngineSpec engine,
    ModelSpec model,
    RequestSize size,
    long receivedNanos,
    int targetMillis,
    int gapMillis,
    double limit,
    boolean refusedIfLate) {

  /**
   * The usual limit of a first attempt. Other requests in flight are known 150 to 600 ms late, so a
   * forecast is off by about a quarter in either direction; a request that is refused within this
   * error might have been in time.
   */
  public static final double USUAL_LIMIT = 1.25;

  /** The limit of a returning caller that is admitted wherever a head is not full. */
  public static final double ANY_HEAD = Double.POSITIVE_INFINITY;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Returns the same request without a limit, for one that an upstream has already begun to answer.
   *
   * @return the request
   */
  public ForecastTarget atAnyHead() {
    return new ForecastTarget(
        engine, model, size, receivedNanos, targetMillis, gapMillis, ANY_HEAD, refusedIfLate);
  }

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
   * @return true when the forecast exceeds the remaining time times the limit
   */
  public boolean isMissed(HeadForecast.Prediction prediction, long nowNanos) {
    double remainingMillis = targetMillis - (nowNanos - receivedNanos) / NANOS_PER_MILLI;
    return prediction.firstMillis() > limit * remainingMillis;
  }
}
