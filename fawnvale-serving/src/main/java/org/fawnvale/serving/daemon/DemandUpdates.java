package org.fawnvale.serving.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;

/** Computes the demand for each model from the work that callers offer all daemons. */
final class DemandUpdates {

  private static final double NANOS_PER_SECOND = 1e9;

  private final boolean observed;
  private final Supplier<Map<String, Double>> ownWork;
  private final Supplier<Map<String, Double>> peersWork;

  /** When this daemon first knew of a caller's request in the cluster, in monotonic time; or 0. */
  private long firstRequestNanos;

  /**
   * Creates the demand as one daemon knows it.
   *
   * @param observed whether observed work counts, and not only what the configuration declares
   * @param ownWork supplies by model the groups that the work at this daemon would keep busy
   * @param peersWork supplies the same of all other daemons
   */
  DemandUpdates(
      boolean observed,
      Supplier<Map<String, Double>> ownWork,
      Supplier<Map<String, Double>> peersWork) {
    this.observed = observed;
    this.ownWork = ownWork;
    this.peersWork = peersWork;
  }

  /** Records that a daemon of the cluster has received a caller's request. */
  void requestReceived(long nowNanos) {
    if (firstRequestNanos == 0) {
      firstRequestNanos = nowNanos;
    }
  }

  ModelDemand of(EngineSpec engine, long nowNanos) {
    if (!observed || firstRequestNanos == 0) {
      return ModelDemand.declared(engine);
    }
    Map<String, Double> work = new HashMap<>(peersWork.get());
    ownWork.get().forEach((model, groups) -> work.merge(model, groups, Double::sum));
    double seconds = (nowNanos - firstRequestNanos) / NANOS_PER_SECOND;
    return ModelDemand.observed(engine, work, seconds);
  }
}
