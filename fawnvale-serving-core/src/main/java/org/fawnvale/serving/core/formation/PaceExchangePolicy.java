package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.NodePaces;
import org.fawnvale.serving.core.pace.PaceView;
import org.jspecify.annotations.Nullable;

/**
 * Finds groups that run slow because of some of their nodes, and whose normal nodes, together with
 * the free ones of their domain, would form groups of normal pace.
 */
final class PaceExchangePolicy {

  /** Limits how many groups one exchange dissolves, and with it the cost of a plan. */
  private static final int MAX_VICTIMS = 8;

  /**
   * Minimal ratio of the nodes' work after and before. The nodes serve nobody for up to three
   * seconds, and nodes seldom stay slow for much longer than ten.
   */
  private static final double MIN_GAIN_RATIO = 1.5;

  private final EngineSpec engine;
  private final MixPlanner mix;
  private final JoinRule rule;
  private final NodePaces paces;
  private final Map<String, Double> capacity;

  /**
   * Creates the policy of one plan.
   *
   * @param engine the engines' configuration and capacity model
   * @param mix computes the loss of each model's callers
   * @param rule which nodes may join groups of which model
   * @param paces the pace of nodes
   * @param capacity the groups of each model that exist or are being formed; a slow group counts as
   *     the share of a normal group's work that it does
   */
  PaceExchangePolicy(
      EngineSpec engine,
      MixPlanner mix,
      JoinRule rule,
      NodePaces paces,
      Map<String, Double> capacity) {
    this.engine = engine;
    this.mix = mix;
    this.rule = rule;
    this.paces = paces;
    this.capacity = capacity;
  }

  /**
   * An exchange.
   *
   * @param victims the groups to dissolve
   * @param packing the groups of normal nodes to form, in the order of the engine's models
   * @param nodesBefore the work of the nodes before, in nodes of normal pace
   * @param nodesAfter their work after it
   */
  record Plan(
      List<ObservedGroup> victims, List<Integer> packing, double nodesBefore, double nodesAfter) {

    String describe() {
      return "groups="
          + victims.size()
          + " for="
          + packing
          + String.format(
              Locale.ROOT, " nodes_before=%.1f nodes_after=%.1f", nodesBefore, nodesAfter);
    }
  }

  /** The pace of a group: that of its slowest member. */
  static double pace(ObservedGroup group, PaceView paces) {
    double slowest = 1;
    for (Node node : group.members()) {
      slowest = Math.max(slowest, paces.of(node.id()));
    }
    return slowest;
  }

  /** Tells whether a group serves and is slow only because of some of its nodes. */
  static boolean isMixed(ObservedGroup group, EngineSpec engine, NodePaces paces) {
    Node head = group.head();
    String name = head == null ? null : head.model();
    ModelSpec model = name == null ? null : engine.model(name);
    return model != null
        && group.isComplete(model.size())
        && group.anyMemberIs(MemberState.OPEN)
        && group.members().stream().anyMatch(node -> paces.isSteadilySlow(node.id()))
        && group.members().stream().anyMatch(node -> !paces.isSlow(node.id()))
        && group.members().stream().noneMatch(node -> paces.hasJustReturned(node.id()));
  }

  /**
   * Looks for groups to dissolve in one domain.
   *
   * @param free the domain's free nodes of normal pace
   * @param mixed the domain's mixed groups that may be dissolved
   * @return the exchange after which callers lose least; null when none gains
   */
  @Nullable Plan plan(List<Node> free, List<ObservedGroup> mixed) {
    List<ObservedGroup> ordered = new ArrayList<>(mixed);
    ordered.sort(
        Comparator.comparingDouble((ObservedGroup group) -> -lossOf(model(group)))
            .thenComparingLong(this::slowMembers)
            .thenComparing(group -> group.key().name()));
    Plan best = null;
    double lowest = loss(capacity);
    for (int count = 1; count <= Math.min(MAX_VICTIMS, ordered.size()); count++) {
      List<ObservedGroup> victims = List.copyOf(ordered.subList(0, count));
      Plan plan = bestPacking(free, victims);
      double loss = plan == null ? lowest : loss(after(plan.victims(), plan.packing()));
      if (plan != null && loss < lowest) {
        best = plan;
        lowest = loss;
      }
    }
    return best;
  }

  private @Nullable Plan bestPacking(List<Node> free, List<ObservedGroup> victims) {
    List<Node> nodes = new ArrayList<>(free);
    double before = 0;
    for (ObservedGroup group : victims) {
      before += group.members().size() / pace(group, paces);
      group.members().stream().filter(node -> !paces.isSlow(node.id())).forEach(nodes::add);
    }
    Plan best = null;
    double lowest = Double.MAX_VALUE;
    for (List<Integer> packing : new DomainPackings(engine, nodes, rule).maximal()) {
      double loss = loss(after(victims, packing));
      double work = nodesIn(packing);
      if (work > MIN_GAIN_RATIO * before && loss < lowest) {
        best = new Plan(victims, packing, before, work);
        lowest = loss;
      }
    }
    return best;
  }

  private int nodesIn(List<Integer> packing) {
    int nodes = 0;
    for (int index = 0; index < packing.size(); index++) {
      nodes += packing.get(index) * engine.models().get(index).size();
    }
    return nodes;
  }

  private Map<String, Double> after(List<ObservedGroup> victims, List<Integer> packing) {
    Map<String, Double> after = new HashMap<>(capacity);
    for (ObservedGroup group : victims) {
      after.merge(model(group).name(), -1 / pace(group, paces), Double::sum);
    }
    for (int index = 0; index < packing.size(); index++) {
      after.merge(engine.models().get(index).name(), (double) packing.get(index), Double::sum);
    }
    return after;
  }

  private double loss(Map<String, Double> groups) {
    double loss = 0;
    for (ModelSpec model : engine.models()) {
      loss += mix.loss(model, groups.getOrDefault(model.name(), 0.0));
    }
    return loss;
  }

  private double lossOf(ModelSpec model) {
    return mix.loss(model, capacity.getOrDefault(model.name(), 0.0));
  }

  private long slowMembers(ObservedGroup group) {
    return group.members().stream().filter(node -> paces.isSlow(node.id())).count();
  }

  String modelName(ObservedGroup group) {
    return model(group).name();
  }

  private ModelSpec model(ObservedGroup group) {
    Node head = group.head();
    String name = head == null ? null : head.model();
    ModelSpec model = name == null ? null : engine.model(name);
    if (model == null) {
      throw new IllegalStateException("Group " + group.key().name() + " has no model.");
    }
    return model;
  }
}
