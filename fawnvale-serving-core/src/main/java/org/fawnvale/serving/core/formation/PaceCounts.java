package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.PaceView;

/** Counts groups by model where some of them are slow. */
final class PaceCounts {

  private PaceCounts() {}

  static boolean isSlow(ObservedGroup group, PaceView paces) {
    return group.members().stream().anyMatch(node -> paces.isSlow(node.id()));
  }

  /** Returns the number of groups of each model. */
  static Map<String, Integer> byModel(Collection<ObservedGroup> groups, EngineSpec engine) {
    Map<String, Integer> counts = new HashMap<>();
    for (ObservedGroup group : groups) {
      ModelSpec model = GroupPlanner.modelOf(group, engine);
      if (model != null) {
        counts.merge(model.name(), 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns counts that include the groups without the slow ones among them. */
  static Map<String, Integer> withoutSlow(
      Map<String, Integer> counts,
      Collection<ObservedGroup> groups,
      EngineSpec engine,
      PaceView paces) {
    List<ObservedGroup> slow = groups.stream().filter(group -> isSlow(group, paces)).toList();
    Map<String, Integer> normal = new HashMap<>(counts);
    byModel(slow, engine).forEach((model, count) -> normal.merge(model, -count, Integer::sum));
    return normal;
  }

  /**
   * Returns counts that include the groups, of which slow ones count as the share of a normal
   * group's work that they do.
   */
  static Map<String, Double> capacity(
      Map<String, Integer> counts,
      Collection<ObservedGroup> groups,
      EngineSpec engine,
      PaceView paces) {
    Map<String, Double> capacity = new HashMap<>();
    counts.forEach((model, count) -> capacity.put(model, (double) count));
    for (ObservedGroup group : groups) {
      ModelSpec model = GroupPlanner.modelOf(group, engine);
      double pace = PaceExchangePolicy.pace(group, paces);
      if (model != null && pace > 1) {
        capacity.merge(model.name(), 1 / pace - 1, Double::sum);
      }
    }
    return capacity;
  }

  /**
   * Chooses the groups that each domain forms. Normal nodes form theirs as if there were no slow
   * groups; then slow nodes add to them.
   *
   * @param free the free nodes, by domain of the plan
   * @param counts the groups of each model
   * @param normalCounts the groups of each model without the slow ones
   */
  static Map<String, List<Integer>> packings(
      MixPlanner mix,
      Map<String, List<Node>> free,
      Map<String, Integer> counts,
      Map<String, Integer> normalCounts,
      JoinRule rule,
      EngineSpec engine) {
    Map<String, List<Integer>> packings =
        new LinkedHashMap<>(mix.choose(PaceDomains.select(free, false), normalCounts, rule));
    Map<String, Integer> all = new HashMap<>(counts);
    for (List<Integer> packing : packings.values()) {
      for (int index = 0; index < packing.size(); index++) {
        all.merge(engine.models().get(index).name(), packing.get(index), Integer::sum);
      }
    }
    packings.putAll(mix.choose(PaceDomains.select(free, true), all, rule));
    return packings;
  }
}
