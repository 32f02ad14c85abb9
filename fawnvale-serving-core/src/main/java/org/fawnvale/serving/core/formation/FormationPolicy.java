package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Decides which free nodes of one domain become members of which group.
 *
 * <p>By default only nodes that hold a model's weights join its groups: a node that has to load
 * them first would keep the other members idle, although they could form a group with the survivors
 * of the next failure. Nodes without the weights may also join while the rate of loads is not
 * limited, and for a model that no group serves.
 */
final class FormationPolicy {

  private static final int REJOIN_MILLIS = 200;

  private FormationPolicy() {}

  /**
   * A group to form.
   *
   * @param members its members, the head first
   * @param loads the number of loads from the weight store that it needs
   * @param readyMillis the time until all members are ready, in milliseconds
   */
  record Proposal(ModelSpec model, List<Node> members, int loads, int readyMillis) {}

  /**
   * Tells whether a node has a model's weights, in memory or on its host.
   *
   * @return true when it can join a group of the model without loading from the weight store
   */
  static boolean holds(Node node, ModelSpec model) {
    return model.name().equals(node.model()) || node.staged().contains(model.name());
  }

  /**
   * Picks the members of the groups that a domain forms.
   *
   * @param free the domain's free nodes
   * @param packing the groups to form, in the order of the engine's models
   * @param engine the engines' configuration and capacity model
   * @param rule which nodes may join groups of which model
   * @return the groups, larger ones first
   */
  static List<Proposal> proposals(
      List<Node> free, List<Integer> packing, EngineSpec engine, JoinRule rule) {
    List<ModelSpec> planned = new ArrayList<>();
    for (int index = 0; index < packing.size(); index++) {
      for (int count = 0; count < packing.get(index); count++) {
        planned.add(engine.models().get(index));
      }
    }
    planned.sort(Comparator.comparingInt(ModelSpec::size).reversed());
    List<Node> remaining = new ArrayList<>(free);
    List<Proposal> proposals = new ArrayList<>();
    for (ModelSpec model : planned) {
      List<Node> fit = remaining.stream().filter(node -> rule.mayJoin(node, model)).toList();
      if (fit.size() >= model.size()) {
        Proposal proposal = quickest(fit, model, planned);
        proposals.add(proposal);
        remaining.removeAll(proposal.members());
      }
    }
    return proposals;
  }

  /**
   * Proposes a group of a model that no group serves, even if its members have to load the weights.
   *
   * @param free a domain's free nodes
   * @param engine the engines' configuration and capacity model
   * @param groupCounts the groups of each model that exist or are being formed
   * @return the proposal; null when every model is served or no group fits
   */
  static @Nullable Proposal proposalForUnserved(
      List<Node> free, EngineSpec engine, Map<String, Integer> groupCounts) {
    for (ModelSpec model : engine.models()) {
      boolean isMissing = groupCounts.getOrDefault(model.name(), 0) == 0;
      if (isMissing && free.size() >= model.size()) {
        return quickest(free, model, List.of(model));
      }
    }
    return null;
  }

  private static int joinMillis(Node node, ModelSpec model) {
    if (model.name().equals(node.model())) {
      return REJOIN_MILLIS;
    }
    return node.staged().contains(model.name()) ? model.warmMillis() : model.loadMillis();
  }

  /** Prefers nodes that can join no other planned group, then those that are ready soonest. */
  private static Proposal quickest(List<Node> fit, ModelSpec model, List<ModelSpec> planned) {
    List<Node> sorted = new ArrayList<>(fit);
    sorted.sort(
        Comparator.comparingLong((Node node) -> countOtherModels(node, model, planned))
            .thenComparingInt(node -> joinMillis(node, model))
            .thenComparing(Node::id));
    List<Node> members = sorted.subList(0, model.size());
    int loads = 0;
    int slowest = 0;
    for (Node node : members) {
      int time = joinMillis(node, model);
      slowest = Math.max(slowest, time);
      loads += holds(node, model) ? 0 : 1;
    }
    return new Proposal(model, List.copyOf(members), loads, slowest);
  }

  private static long countOtherModels(Node node, ModelSpec model, List<ModelSpec> planned) {
    return planned.stream().filter(other -> !other.equals(model) && holds(node, other)).count();
  }
}
