package org.fawnvale.serving.core.demand;

import java.util.HashMap;
import java.util.Map;

/**
 * The work that callers have recently requested from each model, whether or not it was admitted, as
 * an exponentially decaying sum. Not thread-safe.
 */
public final class OfferedLoad {

  /**
   * The time constant of the decay, in nanoseconds. Traffic changes within a second; six seconds
   * keep the noise of some dozen requests per second of very different sizes below a tenth.
   */
  private static final double DECAY_NANOS = 6e9;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, DecayingSum> models = new HashMap<>();

  /** An exponentially decaying sum of work. */
  private static final class DecayingSum {
    double millis;
    long atNanos;

    void decay(long nowNanos) {
      millis *= Math.exp((atNanos - nowNanos) / DECAY_NANOS);
      atNanos = nowNanos;
    }
  }

  /**
   * Returns the fraction of a constant load that the decaying sum has reached some time after the
   * first request.
   *
   * @param seconds the time since the first request, in seconds
   * @return above 0, approaching 1
   */
  static double weightAfter(double seconds) {
    return 1 - Math.exp(-seconds * NANOS_PER_SECOND / DECAY_NANOS);
  }

  /**
   * Adds the work of a caller's first attempt.
   *
   * @param workMillis the time of one group that the request occupies, in milliseconds
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void recordWork(String model, double workMillis, long nowNanos) {
    DecayingSum sum = models.computeIfAbsent(model, name -> new DecayingSum());
    sum.decay(nowNanos);
    sum.millis += workMillis;
  }

  /**
   * Returns the current load as groups.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return by model, how many groups the requested work would keep busy
   */
  public Map<String, Double> busyGroups(long nowNanos) {
    Map<String, Double> rates = new HashMap<>();
    models.forEach(
        (model, sum) -> {
          sum.decay(nowNanos);
          rates.put(model, sum.millis / MILLIS_PER_SECOND / (DECAY_NANOS / NANOS_PER_SECOND));
        });
    return rates;
  }
}
