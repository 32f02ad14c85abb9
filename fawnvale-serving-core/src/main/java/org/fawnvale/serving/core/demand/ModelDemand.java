package org.fawnvale.serving.core.demand;

import java.util.HashMap;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * The demand for each model, relative to the total demand.
 *
 * @param groups by model, the number of groups that it keeps busy, divided by the number of nodes
 *     that all models together keep busy
 * @param confidence the weight of the observed demand against the declared one: 0 when only the
 *     declared demand counts, approaching 1 with the time of observation
 * @param busyNodes the nodes that all models together keep busy; 0 when that is not known
 */
public record ModelDemand(Map<String, Double> groups, double confidence, double busyNodes) {

  /**
   * The time constant with which observed demand replaces declared demand, in seconds of traffic.
   */
  private static final double CONFIDENCE_SECONDS = 3;

  /**
   * The smallest demand of a model, as a fraction of its declared demand, since callers may request
   * the model at any time. Also the smallest declared share of the work.
   */
  private static final double MIN_DECLARED_SHARE = 0.05;

  /**
   * The confidence from which on serving groups may be dissolved, reached after two seconds of
   * traffic.
   */
  private static final double MIN_CONFIDENCE = 0.48;

  /**
   * Creates a demand that is certain.
   *
   * @param groups by model, the number of groups that it keeps busy, divided by the number of nodes
   *     that all models together keep busy
   */
  public ModelDemand(Map<String, Double> groups) {
    this(groups, 1, 0);
  }

  /**
   * Tells whether the demand is based on enough observed traffic.
   *
   * @return false while the demand is mostly the declared one
   */
  public boolean isObserved() {
    return confidence >= MIN_CONFIDENCE;
  }

  /**
   * Returns the demand that the configuration declares: shares of the work are shares of the nodes.
   *
   * @param engine the performance parameters of the engines
   */
  public static ModelDemand declared(EngineSpec engine) {
    Map<String, Double> groups = new HashMap<>();
    for (ModelSpec model : engine.models()) {
      groups.put(model.name(), Math.max(model.share(), MIN_DECLARED_SHARE) / model.size());
    }
    return new ModelDemand(groups, 0, 0);
  }

  /**
   * Returns the observed demand, mixed with the declared one while little traffic has been
   * observed.
   *
   * @param engine the performance parameters of the engines
   * @param busy by model, how many groups the observed work would keep busy
   * @param seconds how long traffic has been observed, in seconds
   */
  public static ModelDemand observed(EngineSpec engine, Map<String, Double> busy, double seconds) {
    double nodes = 0;
    for (ModelSpec model : engine.models()) {
      nodes += busy.getOrDefault(model.name(), 0.0) * model.size();
    }
    ModelDemand declared = declared(engine);
    if (nodes <= 0 || seconds <= 0) {
      return declared;
    }
    double confidence = 1 - Math.exp(-seconds / CONFIDENCE_SECONDS);
    Map<String, Double> groups = new HashMap<>();
    for (ModelSpec model : engine.models()) {
      double declaredGroups = declared.of(model);
      double observedGroups = busy.getOrDefault(model.name(), 0.0) / nodes;
      double mixed = (1 - confidence) * declaredGroups + confidence * observedGroups;
      groups.put(model.name(), Math.max(mixed, MIN_DECLARED_SHARE * declaredGroups));
    }
    return new ModelDemand(groups, confidence, nodes / OfferedLoad.weightAfter(seconds));
  }

  /**
   * Returns the demand for one model.
   *
   * @return its value in {@link #groups}; 0 when the model is unknown
   */
  public double of(ModelSpec model) {
    return groups.getOrDefault(model.name(), 0.0);
  }
}
