package org.fawnvale.serving.core.demand;

import java.util.HashMap;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;

/**
 * How much of the fleet each model needs, relative to the others. All nodes together count as one.
 *
 * @param groups by model, the groups that it keeps busy, relative to one node
 * @param confidence how far it was observed: 0 when it is declared only, towards 1 with the time
 * @param busyNodes the nodes that all models together keep busy; 0 when that is not known
 */
public record ModelDemand(Map<String, Double> groups, double confidence, double busyNodes) {

  /** Seconds of traffic after which what was observed outweighs what was declared. */
  private static final double TRUST_SECONDS = 3;

  /** What is left of a declared share when nobody asks for the model: it may be asked for soon. */
  private static final double LEAST_OF_DECLARED = 0.05;

  /** The least trust in which groups that serve are taken apart: two seconds of traffic. */
  private static final double LEAST_TRUST = 0.48;

  /**
   * A demand that is known for certain.
   *
   * @param groups by model, the groups that it keeps busy, relative to one node
   */
  public ModelDemand(Map<String, Double> groups) {
    this(groups, 1, 0);
  }

  /**
   * Tells whether callers have shown for a while what they ask for.
   *
   * @return false while the demand is mostly the declared one
   */
  public boolean isObserved() {
    return confidence >= LEAST_TRUST;
  }

  /**
   * The demand that the configuration declares: shares of the work are shares of the nodes.
   *
   * @param engine the arithmetic of the engines
   * @return the demand
   */
  public static ModelDemand declared(EngineSpec engine) {
    Map<String, Double> groups = new HashMap<>();
    for (ModelSpec model : engine.models()) {
      groups.put(model.name(), Math.max(model.share(), LEAST_OF_DECLARED) / model.size());
    }
    return new ModelDemand(groups, 0, 0);
  }

  /**
   * The demand that was observed, mixed with the declared one while traffic is young.
   *
   * @param engine the arithmetic of the engines
   * @param busy by model, how many groups the observed work would keep busy
   * @param seconds how long traffic was observed, in seconds
   * @return the demand
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
    double confidence = 1 - Math.exp(-seconds / TRUST_SECONDS);
    Map<String, Double> groups = new HashMap<>();
    for (ModelSpec model : engine.models()) {
      double before = declared.of(model);
      double seen = busy.getOrDefault(model.name(), 0.0) / nodes;
      double mixed = (1 - confidence) * before + confidence * seen;
      groups.put(model.name(), Math.max(mixed, LEAST_OF_DECLARED * before));
    }
    return new ModelDemand(groups, confidence, nodes / OfferedLoad.remembered(seconds));
  }

  /**
   * The demand for one model.
   *
   * @param model the model
   * @return the groups that it keeps busy, relative to one node
   */
  public double of(ModelSpec model) {
    return groups.getOrDefault(model.name(), 0.0);
  }
}
