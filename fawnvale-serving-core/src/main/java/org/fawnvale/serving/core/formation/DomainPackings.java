package org.fawnvale.serving.core.formation;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * The combinations of groups that the free nodes of one domain can form at the same time, with no
 * node in two groups.
 */
final class DomainPackings {

  /** Up to this number of models, all packings are few enough to look at each. */
  private static final int MAX_MODELS_WITH_ALL = 2;

  /** Limit on the packings with more models; all of them would take seconds under a lock. */
  private static final int MAX_PACKINGS = 64;

  private final List<ModelSpec> models;

  /**
   * Number of nodes that can join at least one model of a set; bit {@code i} is model {@code i}.
   */
  private final int[] holders;

  private final Set<List<Integer>> maximal = new LinkedHashSet<>();

  /**
   * Counts the nodes by the models that they can join.
   *
   * @param engine the engines' configuration and capacity model
   * @param nodes the domain's free nodes
   * @param rule which nodes may join groups of which model
   */
  DomainPackings(EngineSpec engine, List<Node> nodes, JoinRule rule) {
    this.models = engine.models();
    int[] nodesBySet = new int[1 << models.size()];
    for (Node node : nodes) {
      nodesBySet[joinableModels(node, rule)]++;
    }
    this.holders = holders(nodesBySet);
  }

  private static int[] holders(int[] nodesBySet) {
    int[] within = nodesBySet.clone();
    for (int model = 1; model < within.length; model <<= 1) {
      for (int set = 0; set < within.length; set++) {
        within[set] += (set & model) != 0 ? within[set ^ model] : 0;
      }
    }
    int all = within.length - 1;
    int[] holders = new int[within.length];
    Arrays.setAll(holders, wanted -> within[all] - within[all ^ wanted]);
    return holders;
  }

  private int joinableModels(Node node, JoinRule rule) {
    int set = 0;
    for (int index = 0; index < models.size(); index++) {
      set |= rule.mayJoin(node, models.get(index)) ? 1 << index : 0;
    }
    return set;
  }

  /**
   * Returns packings to which no group can be added: all with one model or two, else some with few
   * and some with many groups of each model.
   *
   * @return each as the number of groups per model, in the order of the engine's models; at least
   *     one
   */
  List<List<Integer>> maximal() {
    int[] groups = new int[models.size()];
    if (models.size() <= MAX_MODELS_WITH_ALL) {
      enumerate(groups, 0);
    } else {
      sample(groups, 0, MAX_PACKINGS);
    }
    return List.copyOf(maximal);
  }

  private void keep(int[] groups) {
    maximal.add(Arrays.stream(groups).boxed().toList());
  }

  private void enumerate(int[] groups, int index) {
    if (index == groups.length) {
      if (isMaximal(groups)) {
        keep(groups);
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

  /**
   * Keeps packings with evenly spaced numbers of groups of each model but the last, filled up.
   *
   * @param limit how many packings this call may keep
   */
  private void sample(int[] groups, int index, int limit) {
    int modelsLeft = groups.length - 1 - index;
    if (modelsLeft == 0) {
      keep(filledUp(groups));
      return;
    }
    int most = mostGroups(groups, index);
    int numbers = (int) Math.ceil(Math.pow(limit, 1.0 / modelsLeft));
    for (int number : evenlySpaced(most, numbers)) {
      groups[index] = number;
      sample(groups, index + 1, limit / numbers);
    }
    groups[index] = 0;
  }

  private int mostGroups(int[] groups, int index) {
    int[] more = groups.clone();
    while (fits(more)) {
      more[index]++;
    }
    return more[index] - 1;
  }

  private static Set<Integer> evenlySpaced(int most, int numbers) {
    Set<Integer> spaced = new TreeSet<>(Set.of(0));
    for (int index = 1; index < numbers; index++) {
      spaced.add((int) Math.round((double) most * index / (numbers - 1)));
    }
    return spaced;
  }

  /** Adds one group of each model in turn until none fits. */
  private int[] filledUp(int[] groups) {
    int[] filled = groups.clone();
    boolean added = true;
    while (added) {
      added = false;
      for (int index = 0; index < filled.length; index++) {
        added |= addIfFits(filled, index);
      }
    }
    return filled;
  }

  private boolean addIfFits(int[] groups, int index) {
    groups[index]++;
    boolean added = fits(groups);
    groups[index] -= added ? 0 : 1;
    return added;
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
    for (int wanted = 1; wanted < holders.length; wanted++) {
      if (members(groups, wanted) > holders[wanted]) {
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
}
