package org.fawnvale.serving.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates which share of the requests in flight has ended since other daemons reported them, from
 * the mean duration of this daemon's requests to the same model. Not thread-safe.
 */
final class RequestDurations {

  /** The weight of the newest request in the moving average: the last few dozen count. */
  private static final double WEIGHT = 0.05;

  /** The assumed duration until a request has ended, in nanoseconds. */
  private static final double INITIAL_NANOS = 1e9;

  /**
   * Limits the estimated share. Long streams remain among the requests in flight, even if the mean
   * request is shorter than the age of the reports.
   */
  private static final double MAX_TURNOVER = 0.8;

  /** Bounds memory if callers name many models that don't exist. */
  private static final int MAX_MODELS = 256;

  private final Map<String, Double> meanNanos = new HashMap<>();

  /**
   * Records a request that has ended.
   *
   * @param model the model; empty for a plain service
   * @param nanos how long it was in flight, in nanoseconds
   */
  void record(String model, long nanos) {
    double before = meanNanos.getOrDefault(model, INITIAL_NANOS);
    if (meanNanos.size() < MAX_MODELS || meanNanos.containsKey(model)) {
      meanNanos.put(model, before + WEIGHT * (nanos - before));
    }
  }

  /**
   * Returns the share of the reported requests that has ended.
   *
   * @param model the model; empty for a plain service
   * @param ageNanos the mean age of the reports, in nanoseconds
   * @return 0 to {@value #MAX_TURNOVER}
   */
  double turnover(String model, long ageNanos) {
    double mean = meanNanos.getOrDefault(model, INITIAL_NANOS);
    return Math.min(MAX_TURNOVER, ageNanos / Math.max(1, mean));
  }
}
