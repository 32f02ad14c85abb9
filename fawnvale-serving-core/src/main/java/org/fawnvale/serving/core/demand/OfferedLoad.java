package org.fawnvale.serving.core.demand;

import java.util.HashMap;
import java.util.Map;

/** The work that callers lately asked of each model, whether or not it was let in. */
public final class OfferedLoad {

  /**
   * How long work is remembered, in nanoseconds. Traffic jumps within a second; six of them hold
   * the noise of some dozen requests a second, of very different sizes, below a tenth.
   */
  private static final double MEMORY_NANOS = 6e9;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, Decaying> models = new HashMap<>();

  /** A sum that fades. */
  private static final class Decaying {
    double millis;
    long atNanos;

    void fade(long nowNanos) {
      millis *= Math.exp((atNanos - nowNanos) / MEMORY_NANOS);
      atNanos = nowNanos;
    }
  }

  /**
   * The part of steady work that is told after a while: what was asked fades in as it fades out.
   *
   * @param seconds how long work was asked for, in seconds
   * @return above 0, towards 1
   */
  static double remembered(double seconds) {
    return 1 - Math.exp(-seconds * NANOS_PER_SECOND / MEMORY_NANOS);
  }

  /**
   * Takes in that a caller asked for the first time.
   *
   * @param model the model
   * @param workMillis the time of one group that the request takes up, in milliseconds
   * @param nowNanos the steady time
   */
  public void recordWork(String model, double workMillis, long nowNanos) {
    Decaying sum = models.computeIfAbsent(model, name -> new Decaying());
    sum.fade(nowNanos);
    sum.millis += workMillis;
  }

  /**
   * The work that is asked for now.
   *
   * @param nowNanos the steady time
   * @return by model, how many groups it would keep busy
   */
  public Map<String, Double> busyGroups(long nowNanos) {
    Map<String, Double> rates = new HashMap<>();
    models.forEach(
        (model, sum) -> {
          sum.fade(nowNanos);
          rates.put(model, sum.millis / MILLIS_PER_SECOND / (MEMORY_NANOS / NANOS_PER_SECOND));
        });
    return rates;
  }
}
