package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * The groups that survivors of failures and spare nodes are about to form. A group that lost a
 * member is usually complete again within two seconds. Without these groups in the counts, that
 * short gap would cause exchanges of other groups.
 */
final class ExpectedGroups {

  private final Map<String, Integer> byModel = new HashMap<>();
  private final Set<String> domains = new HashSet<>();

  private ExpectedGroups() {}

  /**
   * Computes the groups that will be formed.
   *
   * @param engine the engines' configuration and capacity model
   * @param mix chooses which groups free nodes form
   * @param groupCounts the groups of each model that exist or are being formed
   * @param rule which nodes may join groups of which model
   * @param soonFree the nodes that are free or about to be, by domain
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

  /** Tells whether a domain is about to form any group. */
  boolean anyIn(String domain) {
    return domains.contains(domain);
  }

  /** Adds the expected groups to the counts. */
  void addTo(Map<String, Integer> groupCounts) {
    byModel.forEach((model, groups) -> groupCounts.merge(model, groups, Integer::sum));
  }
}
