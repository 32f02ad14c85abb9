package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Chooses how many groups of each model the free nodes of all domains form, such that the total
 * loss over all models is minimal. The choice is made for all domains together, because a domain
 * forms whole groups only: separate choices may leave more nodes unused.
 */
final class MixPlanner {

  /**
   * Exponent of the loss in the load of a model's groups. In the engines' capacity model, groups at
   * half of their capacity lose almost nothing, at three quarters a tenth, and at nine tenths about
   * half of the answers in time; the eighth power approximates that.
   */
  private static final int LOSS_EXPONENT = 8;

  /** Replaces the number of groups of a model that has none, so that its loss is finite. */
  private static final double MIN_GROUPS = 0.5;

  /**
   * Limit on the mixes that are kept per domain; bounds the work in fleets of hundreds of domains.
   */
  private static final int MAX_MIXES = 2_000;

  /** Limit on the mixes that are compared per domain; each takes about a microsecond. */
  private static final int MAX_EXTENSIONS = 32_000;

  private final EngineSpec engine;
  private final ModelDemand demand;

  MixPlanner(EngineSpec engine, ModelDemand demand) {
    this.engine = engine;
    this.demand = demand;
  }

  /**
   * The groups per model over all domains so far, their loss, and the last domain's choice that led
   * to them.
   */
  private record Mix(
      List<Integer> groups, double loss, @Nullable Mix previous, List<Integer> lastChoice) {}

  /**
   * Chooses the groups that each domain forms.
   *
   * @param free the free nodes by domain
   * @param groupCounts the groups of each model that exist or are being formed
   * @param rule which nodes may join groups of which model
   * @return by domain, the number of groups per model, in the order of the engine's models
   */
  Map<String, List<Integer>> choose(
      Map<String, List<Node>> free, Map<String, Integer> groupCounts, JoinRule rule) {
    List<Integer> start = new ArrayList<>();
    engine.models().forEach(model -> start.add(groupCounts.getOrDefault(model.name(), 0)));
    Map<String, List<Node>> domains = new TreeMap<>(free);
    List<Mix> mixes = List.of(mix(List.copyOf(start), null, List.of()));
    for (List<Node> nodes : domains.values()) {
      mixes = extend(mixes, new DomainPackings(engine, nodes, rule).maximal());
    }
    Mix best = mixes.stream().min(Comparator.comparingDouble(Mix::loss)).orElseThrow();
    List<String> names = new ArrayList<>(domains.keySet());
    Collections.reverse(names);
    Map<String, List<Integer>> choices = new LinkedHashMap<>();
    for (String name : names) {
      choices.put(name, best.lastChoice());
      best = best.previous() == null ? best : best.previous();
    }
    return choices;
  }

  private List<Mix> extend(List<Mix> mixes, List<List<Integer>> packings) {
    Map<List<Integer>, Mix> extended = new HashMap<>();
    int extendable = Math.min(mixes.size(), Math.max(1, MAX_EXTENSIONS / packings.size()));
    for (Mix mix : mixes.subList(0, extendable)) {
      for (List<Integer> packing : packings) {
        extended.computeIfAbsent(add(mix.groups(), packing), sum -> mix(sum, mix, packing));
      }
    }
    List<Mix> all = new ArrayList<>(extended.values());
    all.sort(Comparator.comparingDouble(Mix::loss));
    return all.size() <= MAX_MIXES ? all : all.subList(0, MAX_MIXES);
  }

  private static List<Integer> add(List<Integer> left, List<Integer> right) {
    List<Integer> sum = new ArrayList<>();
    for (int index = 0; index < left.size(); index++) {
      sum.add(left.get(index) + right.get(index));
    }
    return List.copyOf(sum);
  }

  private Mix mix(List<Integer> groups, @Nullable Mix previous, List<Integer> lastChoice) {
    double loss = 0;
    for (int index = 0; index < engine.models().size(); index++) {
      loss += loss(engine.models().get(index), groups.get(index));
    }
    return new Mix(groups, loss, previous, lastChoice);
  }

  /** The demand for a model, as in {@link ModelDemand#groups}. */
  double demand(ModelSpec model) {
    return demand.of(model);
  }

  /**
   * The relative loss of a model's callers. It can be compared between models and group counts.
   *
   * @param groups its number of groups; a slow group may count as a part of one
   * @return the loss; decreases with each group
   */
  double loss(ModelSpec model, double groups) {
    double work = demand.of(model);
    return work * Math.pow(work / Math.max(groups, MIN_GROUPS), LOSS_EXPONENT);
  }

  /** Tells whether the absolute amount of work is known, and not only the share of each model. */
  boolean hasObservedWork() {
    return demand.busyNodes() > 0;
  }

  /**
   * The work of a model that is not done in time.
   *
   * @param groups its number of groups
   * @return the number of groups that this work would keep busy
   */
  double lostWork(ModelSpec model, int groups) {
    double work = demand.of(model) * demand.busyNodes();
    double share = Math.pow(work / Math.max(groups, MIN_GROUPS), LOSS_EXPONENT);
    return work * Math.min(1, share);
  }

  /**
   * The gain of one more group of a model.
   *
   * @param groups its current number of groups
   * @return the reduction of the loss
   */
  double gainOfNextGroup(ModelSpec model, int groups) {
    return loss(model, groups) - loss(model, groups + 1);
  }
}
