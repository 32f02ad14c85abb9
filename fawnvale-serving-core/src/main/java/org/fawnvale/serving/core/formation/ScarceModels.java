package org.fawnvale.serving.core.formation;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/**
 * Reserves nodes for the model that needs them more. A node that joins a group with weights from
 * its host loses the weights that it has in memory, and loading those again takes many seconds.
 */
final class ScarceModels implements JoinRule {

  /**
   * A node stays idle only if one more group of the model whose weights it would lose gains, per
   * node, more than this many times as much as one more group of the model that it would join. The
   * margin allows for noise in the demand, as in {@link ExchangePolicy}.
   */
  private static final double MIN_GAIN_RATIO = 3.0;

  private final EngineSpec engine;
  private final Map<String, Double> gainPerNode = new HashMap<>();
  private final Map<String, Integer> holders = new HashMap<>();
  private final Predicate<Node> isIdleTooLong;

  /**
   * Computes the gains of all models.
   *
   * @param engine the engines' configuration and capacity model
   * @param mix computes the gain of one more group of a model
   * @param groupCounts the groups of each model that exist or are being formed
   * @param nodes all nodes
   * @param isIdleTooLong tells whether a node must not be reserved any longer
   */
  ScarceModels(
      EngineSpec engine,
      MixPlanner mix,
      Map<String, Integer> groupCounts,
      Collection<Node> nodes,
      Predicate<Node> isIdleTooLong) {
    this.engine = engine;
    this.isIdleTooLong = isIdleTooLong;
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
    return lost == null || isIdleTooLong.test(node) || !isMoreValuable(lost, model, node);
  }

  private boolean isMoreValuable(ModelSpec lost, ModelSpec gained, Node node) {
    boolean canForm = holders.getOrDefault(key(node, lost), 0) >= lost.size();
    double gainOfLost = gainPerNode.getOrDefault(lost.name(), 0.0);
    return canForm && gainOfLost > MIN_GAIN_RATIO * gainPerNode.getOrDefault(gained.name(), 0.0);
  }
}
