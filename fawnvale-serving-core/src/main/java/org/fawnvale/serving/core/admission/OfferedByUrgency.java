package org.fawnvale.serving.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The work that callers have just requested from each model by urgency, whether or not it was
 * admitted, as exponentially decaying sums. Not thread-safe.
 */
public final class OfferedByUrgency {

  /** The number of urgencies: 0, the most urgent, to 9. */
  public static final int URGENCIES = 10;

  /**
   * The time constant of the decay, in nanoseconds: a burst has to be seen within half a second.
   */
  private static final double DECAY_NANOS = 5e8;

  private static final double DECAY_MILLIS = DECAY_NANOS / 1e6;

  /** More models than any configuration names; bounds the state if names change for ever. */
  private static final int MAX_MODELS = 256;

  private final Map<String, Sums> models = new HashMap<>();

  private static final class Sums {
    final double[] millis = new double[URGENCIES];
    long atNanos;

    void decay(long nowNanos) {
      double kept = Math.exp((atNanos - nowNanos) / DECAY_NANOS);
      for (int urgency = 0; urgency < URGENCIES; urgency++) {
        millis[urgency] *= kept;
      }
      atNanos = nowNanos;
    }
  }

  /**
   * Adds the work of a request.
   *
   * @param model its model; of the configuration, not as a caller names it
   * @param urgency 0, the most urgent, to 9
   * @param workMillis the time of one group that it occupies, in milliseconds
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void recordWork(String model, int urgency, double workMillis, long nowNanos) {
    if (models.containsKey(model) || models.size() < MAX_MODELS) {
      Sums sums = models.computeIfAbsent(model, name -> new Sums());
      sums.decay(nowNanos);
      sums.millis[urgency] += workMillis;
    }
  }

  /**
   * Returns the current load as groups.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return by model, the number of groups that requests of each urgency would keep busy
   */
  public Map<String, List<Double>> busyGroups(long nowNanos) {
    Map<String, List<Double>> rates = new HashMap<>();
    models.forEach(
        (model, sums) -> {
          sums.decay(nowNanos);
          List<Double> groups = new ArrayList<>(URGENCIES);
          for (double millis : sums.millis) {
            groups.add(millis / DECAY_MILLIS);
          }
          rates.put(model, groups);
        });
    return rates;
  }
}
