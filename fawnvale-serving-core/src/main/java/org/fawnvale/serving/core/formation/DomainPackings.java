package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * The combinations of groups that the free nodes of one domain can form at the same time, with no
 * node in two groups.
 */
final class DomainPackings {

  private final List<ModelSpec> models;

  /** Number of nodes by the set of models that they can join; bit {@code i} is model {@code i}. */
  private final int[] nodesBySet;

  private final List<List<Integer>> maximal = new ArrayList<>();

  /**
   * Counts the nodes by the models that they can join.
   *
   * @param engine the engines' configuration and capacity model
   * @param nodes the domain's free nodes
   * @param rule which nodes may join groups of which model
   */
  DomainPackings(EngineSpec engine, List<Node> nodes, JoinRule rule) {
    this.models = engine.models();
    this.nodesBySet = new int[1 << models.size()];
    for (Node node : nodes) {
      nodesBySet[joinableModels(node, rule)]++;
    }
  }

  private int joinableModels(Node node, JoinRule rule) {
    int set = 0;
    for (int index = 0; index < models.size(); index++) {
      set |= rule.mayJoin(node, models.get(index)) ? 1 << index : 0;
    }
    return set;
  }

  /**
   * Returns the packings to which no group can be added.
   *
   * @return each as the number of groups per model, in the order of the engine's models; at least
   *     one
   */
  List<List<Integer>> maximal() {
    enumerate(new int[models.size()], 0);
    return maximal;
  }

  private void enumerate(int[] groups, int index) {
    if (index == groups.length) {
      if (isMaximal(groups)) {
        List<Integer> packing = new ArrayList<>();
        for (int count : groups) {
          packing.add(count);
        }
        maximal.add(List.copyOf(packing));
      }
      return;
    }
    int before = groups[index];
    while (fits(groups)) {
      enumerate(groups, index + 1);
      groups[index]++;
    }
    groups[index] = before;
  }

  private boolean isMaximal(int[] groups) {
    for (int index = 0; index < groups.length; index++) {
      groups[index]++;
      boolean more = fits(groups);
      groups[index]--;
      if (more) {
        return false;
      }
    }
    return true;
  }

  /** Hall's condition: for each set of models, enough nodes can join at least one of them. */
  private boolean fits(int[] groups) {
    for (int wanted = 1; wanted < nodesBySet.length; wanted++) {
      if (members(groups, wanted) > holders(wanted)) {
        return false;
      }
    }
    return true;
  }

  private int members(int[] groups, int wanted) {
    int members = 0;
    for (int index = 0; index < groups.length; index++) {
      members += (wanted & 1 << index) != 0 ? groups[index] * models.get(index).size() : 0;
    }
    return members;
  }

  private int holders(int wanted) {
    int holders = 0;
    for (int set = 1; set < nodesBySet.length; set++) {
      holders += (set & wanted) != 0 ? nodesBySet[set] : 0;
    }
    return holders;
  }
}
