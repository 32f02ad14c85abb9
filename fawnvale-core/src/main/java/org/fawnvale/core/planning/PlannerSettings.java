package org.fawnvale.core.planning;

import java.util.EnumSet;
import java.util.Set;

/**
 * What the planner may do; each part can be left out to measure what it adds.
 *
 * @param graceMillis how long a silent member is waited for, milliseconds
 * @param features the features that are used
 * @param maximumRebuilding replicas of a data centre that may be rebuilt at once
 * @param maximumSilentShare part of the data centre's nodes that may be silent before the planner
 *     doubts its own sight and changes nothing
 */
public record PlannerSettings(
    long graceMillis, Set<Feature> features, int maximumRebuilding, double maximumSilentShare) {

  /** A part of the planner. */
  public enum Feature {
    /** Put spares in the place of lost members, and keep the survivors' weights. */
    REBUILD_IN_PLACE,
    /** Take nodes that hold the weights first, and nodes that fail often last. */
    PREFER_LOADED,
    /** Load weights to spares before they are needed. */
    WARM_SPARES,
    /** Form extra replicas, as far as the roles allow, from nodes that would be idle. */
    EXTRAS,
    /** Break up an extra replica when a wanted one lacks nodes. */
    PREEMPT_EXTRAS
  }

  /** What measurement speaks for; see docs/MEASUREMENTS.md. */
  public static final PlannerSettings DEFAULT =
      new PlannerSettings(5000, EnumSet.allOf(Feature.class), 4, 0.5);

  /** The baseline: disband at once, first fit, no spares. */
  public static final PlannerSettings BASELINE =
      new PlannerSettings(0, EnumSet.noneOf(Feature.class), Integer.MAX_VALUE, 1);

  /** Copies the set. */
  public PlannerSettings {
    features = Set.copyOf(features);
  }

  /**
   * Tells whether a part is used.
   *
   * @param feature the feature
   * @return true when it is
   */
  public boolean uses(Feature feature) {
    return features.contains(feature);
  }

  /**
   * The same settings with another grace time.
   *
   * @param millis the grace time, milliseconds
   * @return the changed copy
   */
  public PlannerSettings withGrace(long millis) {
    return new PlannerSettings(millis, features, maximumRebuilding, maximumSilentShare);
  }

  /**
   * The same settings without a part.
   *
   * @param feature the feature to leave out
   * @return the changed copy
   */
  public PlannerSettings without(Feature feature) {
    Set<Feature> left = EnumSet.copyOf(features);
    left.remove(feature);
    return new PlannerSettings(graceMillis, left, maximumRebuilding, maximumSilentShare);
  }
}
