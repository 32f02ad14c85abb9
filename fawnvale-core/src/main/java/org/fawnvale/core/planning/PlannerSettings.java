package org.fawnvale.core.planning;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/**
 * Settings of the planner. Replays switch single features off to measure their effect.
 *
 * @param graceMillis grace period before a silent member is replaced, milliseconds
 * @param features the enabled features
 * @param maximumRebuilding how many replicas of a data centre may be rebuilt at the same time
 * @param maximumSilentShare share of the data centre's nodes, 0 to 1, that may be silent; when more
 *     are silent, the planner assumes that its own observations are wrong and changes nothing
 */
public record PlannerSettings(
    long graceMillis, Set<Feature> features, int maximumRebuilding, double maximumSilentShare) {

  /** A feature of the planner that can be switched off. */
  public enum Feature {
    /** Replace lost members by spare nodes; the remaining members keep their weights. */
    REBUILD_IN_PLACE,
    /** Prefer nodes that have loaded the weights, and avoid nodes that fail often. */
    PREFER_LOADED,
    /** Preload weights on spare nodes. */
    WARM_SPARES,
    /** Form extra replicas from idle nodes, as far as the roles allow. */
    EXTRAS,
    /** Disband an extra replica when a required replica lacks nodes. */
    PREEMPT_EXTRAS
  }

  /** The settings that daemons use. */
  public static final PlannerSettings DEFAULT =
      new PlannerSettings(5000, EnumSet.allOf(Feature.class), 4, 0.5);

  /** A baseline for replays: no grace period, first fit, all features off. */
  public static final PlannerSettings BASELINE =
      new PlannerSettings(0, EnumSet.noneOf(Feature.class), Integer.MAX_VALUE, 1);

  /** Copies the set. */
  public PlannerSettings {
    features = Set.copyOf(features);
  }

  /**
   * Returns true when so many nodes are silent that the planner trusts no observation of silence.
   *
   * @param nodes the data centre's nodes with engines
   */
  public boolean areTooManySilent(Collection<NodeView> nodes) {
    long silent = nodes.stream().filter(view -> !view.isAlive()).count();
    return nodes.isEmpty() || silent > nodes.size() * maximumSilentShare;
  }

  /** Returns true when the feature is enabled. */
  public boolean uses(Feature feature) {
    return features.contains(feature);
  }

  /**
   * Returns a copy of these settings with another grace period.
   *
   * @param millis the grace period, milliseconds
   */
  public PlannerSettings withGrace(long millis) {
    return new PlannerSettings(millis, features, maximumRebuilding, maximumSilentShare);
  }

  /** Returns a copy of these settings with one feature switched off. */
  public PlannerSettings without(Feature feature) {
    Set<Feature> left = EnumSet.copyOf(features);
    left.remove(feature);
    return new PlannerSettings(graceMillis, left, maximumRebuilding, maximumSilentShare);
  }
}
