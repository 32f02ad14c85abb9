package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * Keeps nodes for the model that is missed more. A node that joins a group from its host loses what
 * it last had in memory, and has it again only after a load of many seconds.
 */
final class ScarceModels implements JoinRule {

  /**
   * How many times the worth of one more group must be, for nodes to lie idle for its sake: as for
   * an exchange, that noise in the demand makes no difference.
   */
  private static final double MIN_GAIN_RATIO = 3.0;

  private final EngineSpec engine;
  private final Map<String, Double> gainPerNode = new HashMap<>();
  private final Map<String, Integer> holders = new HashMap<>();
  private final Predicate<Node> isReservedTooLong;

  /**
   * Weighs the models.
   *
   * @param engine the arithmetic of the engines
   * @param mix tells what one more group of a model is worth
   * @param standing the groups of each model that stand or are being formed
   * @param nodes all nodes
   * @param hasWaited tells of a node that it has lain idle for long enough
   */
  ScarceModels(
      EngineSpec engine,
      MixPlanner mix,
      Map<String, Integer> groupCounts,
      Collection<Node> nodes,
      Predicate<Node> isReservedTooLong) {
    this.engine = engine;
    this.isReservedTooLong = isReservedTooLong;
    for (ModelSpec model : engine.models()) {
      int groups = groupCounts.getOrDefault(model.name(), 0);
      gainPerNode.put(model.name(), mix.gainOfNextGroup(model, groups) / model.size());
      for (Node node : nodes) {
        if (!node.draining() && FormationPolicy.holds(node, model)) {
          holders.merge(key(node, model), 1, Integer::sum);
        }
      }
    }
  }

  private static String key(Node node, ModelSpec model) {
    return node.domain() + " " + model.name();
  }

  @Override
  public boolean mayJoin(Node node, ModelSpec model) {
    if (!FormationPolicy.holds(node, model)) {
      return false;
    }
    String last = node.model();
    boolean losesNothing =
        last == null || last.equals(model.name()) || node.staged().contains(last);
    ModelSpec lost = losesNothing || last == null ? null : engine.model(last);
    return lost == null || isReservedTooLong.test(node) || !isMoreValuable(lost, model, node);
  }

  private boolean isMoreValuable(ModelSpec lost, ModelSpec gained, Node node) {
    boolean canForm = holders.getOrDefault(key(node, lost), 0) >= lost.size();
    double gainOfLost = gainPerNode.getOrDefault(lost.name(), 0.0);
    return canForm && gainOfLost > MIN_GAIN_RATIO * gainPerNode.getOrDefault(gained.name(), 0.0);
  }
}
