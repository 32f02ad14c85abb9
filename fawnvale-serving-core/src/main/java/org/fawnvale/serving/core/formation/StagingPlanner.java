package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which nodes load which weights onto their hosts, beside everything else that they do.
 * Nodes that hold nothing come first, since they can join no group. Then each member of a group
 * stages a second model: whatever the survivors of a loss are needed for, they join it from their
 * hosts instead of the weight store.
 */
final class StagingPlanner {

  private static final long MILLI = 1_000_000L;

  /** A load may take this many times its usual time, when others share the weight store. */
  private static final long PATIENCE = 3;

  private final boolean secondModel;
  private final Map<String, Staging> underWay = new HashMap<>();

  StagingPlanner(boolean secondModel) {
    this.secondModel = secondModel;
  }

  /** A load onto the host of a node, until the node holds the model, is gone or takes too long. */
  private record Staging(ModelSpec model, long untilNanos) {
    boolean over(@Nullable Node node, long now) {
      return node == null || now > untilNanos || FormationPolicy.holds(node, model);
    }
  }

  /**
   * A load that is worth its while.
   *
   * @param node the node
   * @param model the model whose weights it loads
   */
  record Wish(Node node, ModelSpec model) {}

  int underWay() {
    return underWay.size();
  }

  /** Forgets loads that are done or over. */
  void forget(Map<String, Node> nodes, long now) {
    underWay.entrySet().removeIf(entry -> entry.getValue().over(nodes.get(entry.getKey()), now));
  }

  /** Notes that a node was told to load. */
  void begun(Wish wish, long now) {
    long until = now + PATIENCE * wish.model().loadMillis() * MILLI;
    underWay.put(wish.node().id(), new Staging(wish.model(), until));
  }

  /**
   * The loads that are worth their while, most useful first.
   *
   * @param nodes the nodes of all domains
   * @param engine the arithmetic of the engines
   * @param mix tells what one more group of a model is worth
   * @param standing the groups of each model that stand or are being formed
   * @param forming the models of groups on their way, by domain
   * @return the loads
   */
  List<Wish> wishes(
      Collection<Node> nodes,
      EngineSpec engine,
      MixPlanner mix,
      Map<String, Integer> standing,
      Map<String, List<ModelSpec>> forming) {
    List<ModelSpec> useful = new ArrayList<>(engine.models());
    useful.sort(
        Comparator.comparingDouble(
                (ModelSpec model) ->
                    mix.worthOfNext(model, standing.getOrDefault(model.name(), 0)) / model.size())
            .reversed());
    Map<String, ModelSpec> largest = largestByDomain(nodes, engine, forming);
    List<Wish> empty = new ArrayList<>();
    List<Wish> seconds = new ArrayList<>();
    for (Node node : nodes) {
      boolean able = !node.draining() && !isJoining(node) && !underWay.containsKey(node.id());
      if (!able) {
        continue;
      }
      if (node.model() == null && node.staged().isEmpty()) {
        empty.add(new Wish(node, largest.getOrDefault(node.domain(), useful.get(0))));
      } else if (secondModel && node.model() != null) {
        useful.stream()
            .filter(model -> !FormationPolicy.holds(node, model))
            .findFirst()
            .ifPresent(model -> seconds.add(new Wish(node, model)));
      }
    }
    seconds.sort(Comparator.comparingInt(wish -> useful.indexOf(wish.model())));
    empty.addAll(seconds);
    return empty;
  }

  /**
   * The largest model that groups of each domain serve. The survivors of such a group are most, and
   * one node more that holds its weights makes them whole again.
   */
  private static Map<String, ModelSpec> largestByDomain(
      Collection<Node> nodes, EngineSpec engine, Map<String, List<ModelSpec>> forming) {
    Map<String, ModelSpec> largest = new HashMap<>();
    for (Node node : nodes) {
      String name = node.model();
      ModelSpec model = name == null || node.membership() == null ? null : engine.model(name);
      if (model != null) {
        largest.merge(node.domain(), model, StagingPlanner::larger);
      }
    }
    forming.forEach(
        (domain, models) ->
            models.forEach(model -> largest.merge(domain, model, StagingPlanner::larger)));
    return largest;
  }

  private static ModelSpec larger(ModelSpec one, ModelSpec other) {
    return one.size() >= other.size() ? one : other;
  }

  private static boolean isJoining(Node node) {
    Membership place = node.membership();
    return place != null && place.state() == MemberState.JOINING;
  }
}
