package org.fawnvale.core.replay;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fawnvale.core.planning.PlannerSettings;

/**
 * A way to form replicas.
 *
 * @param name its name
 * @param settings what the planner may do
 */
public record FormationPolicy(String name, PlannerSettings settings) {

  /** Name of the daemons' own policy. */
  public static final String OWN = "own";

  /**
   * All policies: the daemons' own, the same with a part left out, and the baseline.
   *
   * @return the policies by name
   */
  public static Map<String, FormationPolicy> all() {
    PlannerSettings own = PlannerSettings.DEFAULT;
    Map<String, FormationPolicy> policies = new LinkedHashMap<>();
    add(policies, OWN, own);
    add(policies, "without-grace", own.withGrace(0));
    add(policies, "grace-of-30-s", own.withGrace(30_000));
    add(policies, "without-warm-spares", own.without(PlannerSettings.Feature.WARM_SPARES));
    add(policies, "without-raiding", own.without(PlannerSettings.Feature.PREEMPT_EXTRAS));
    add(policies, "without-extras", own.without(PlannerSettings.Feature.EXTRAS));
    add(policies, "without-preference", own.without(PlannerSettings.Feature.PREFER_LOADED));
    add(policies, "without-rebuilding", own.without(PlannerSettings.Feature.REBUILD_IN_PLACE));
    add(policies, "baseline", PlannerSettings.BASELINE);
    return policies;
  }

  private static void add(
      Map<String, FormationPolicy> policies, String name, PlannerSettings settings) {
    policies.put(name, new FormationPolicy(name, settings));
  }
}
