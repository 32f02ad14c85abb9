package org.fawnvale.core.replay;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fawnvale.core.planning.PlannerSettings;

/**
 * A policy for forming replicas.
 *
 * @param name the name of the policy
 * @param settings settings of the planner
 */
public record FormationPolicy(String name, PlannerSettings settings) {

  /** Name of the policy that daemons use. */
  public static final String OWN = "own";

  /**
   * Returns all policies by name: the daemons' policy, variants with one feature off, and the
   * baseline.
   */
  public static Map<String, FormationPolicy> all() {
    PlannerSettings daemonPolicy = PlannerSettings.DEFAULT;
    Map<String, FormationPolicy> policies = new LinkedHashMap<>();
    add(policies, OWN, daemonPolicy);
    add(policies, "without-grace", daemonPolicy.withGrace(0));
    add(policies, "grace-of-30-s", daemonPolicy.withGrace(30_000));
    add(policies, "without-warm-spares", daemonPolicy.without(PlannerSettings.Feature.WARM_SPARES));
    add(policies, "without-raiding", daemonPolicy.without(PlannerSettings.Feature.PREEMPT_EXTRAS));
    add(policies, "without-extras", daemonPolicy.without(PlannerSettings.Feature.EXTRAS));
    add(
        policies,
        "without-preference",
        daemonPolicy.without(PlannerSettings.Feature.PREFER_LOADED));
    add(
        policies,
        "without-rebuilding",
        daemonPolicy.without(PlannerSettings.Feature.REBUILD_IN_PLACE));
    add(policies, "baseline", PlannerSettings.BASELINE);
    return policies;
  }

  private static void add(
      Map<String, FormationPolicy> policies, String name, PlannerSettings settings) {
    policies.put(name, new FormationPolicy(name, settings));
  }
}
