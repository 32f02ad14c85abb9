package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * The groups that survivors of losses and spares are about to form. A group that lost a member is
 * whole again within about two seconds; whoever counted it as missing meanwhile took other groups
 * apart for it. On a day with a loss each three seconds and members that leave, eleven groups of
 * the model that was short were taken apart within nine seconds, for one that was at a third of its
 * load.
 */
final class ExpectedGroups {

  private final Map<String, Integer> byModel = new HashMap<>();
  private final Set<String> domains = new HashSet<>();

  private ExpectedGroups() {}

  /**
   * Works out what nodes form.
   *
   * @param engine the arithmetic of the engines
   * @param mix chooses what free nodes form
   * @param standing the groups of each model that stand or are being formed
   * @param rule which nodes may join groups of which model
   * @param soonFree the nodes that are free or about to be, by domain
   * @return the groups
   */
  static ExpectedGroups of(
      EngineSpec engine,
      MixPlanner mix,
      Map<String, Integer> groupCounts,
      JoinRule rule,
      Map<String, List<Node>> soonFree) {
    ExpectedGroups expected = new ExpectedGroups();
    mix.choose(soonFree, groupCounts, rule)
        .forEach((domain, packing) -> expected.add(engine, domain, packing));
    return expected;
  }

  private void add(EngineSpec engine, String domain, List<Integer> packing) {
    for (int index = 0; index < packing.size(); index++) {
      if (packing.get(index) > 0) {
        byModel.merge(engine.models().get(index).name(), packing.get(index), Integer::sum);
        domains.add(domain);
      }
    }
  }

  /** Tells whether a domain is about to form any. */
  boolean anyIn(String domain) {
    return domains.contains(domain);
  }

  /** Counts the groups as if they stood. */
  void addTo(Map<String, Integer> groupCounts) {
    byModel.forEach((model, groups) -> groupCounts.merge(model, groups, Integer::sum));
  }
}
