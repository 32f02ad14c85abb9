package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/** Decides which free nodes of one domain form a group of which model, and what spares hold. */
final class FormationPolicy {

  private static final int REJOIN_MILLIS = 200;
  private static final int SPARES = 2;
  private static final double HORIZON_MILLIS = 22_000;

  private FormationPolicy() {}

  /**
   * A group to form.
   *
   * @param model its model
   * @param members its members, the head first
   * @param loads the loads from the weight store that it costs
   * @param readyMillis the time until all members are ready, in milliseconds
   */
  record Proposal(ModelSpec model, List<Node> members, int loads, int readyMillis) {}

  /**
   * Proposes the next group of a domain.
   *
   * @param free the domain's free nodes
   * @param engine the arithmetic of the engines
   * @param groups the groups of each model that stand or are being formed, in all domains
   * @param nodes the nodes of all domains
   * @return the proposal; null when no model fits, or when the free nodes are better kept as spares
   */
  static @Nullable Proposal propose(
      List<Node> free, EngineSpec engine, Map<String, Integer> groups, int nodes) {
    Proposal best = null;
    double bestWorth = 0;
    double wanted = wantedGroups(engine, nodes);
    for (ModelSpec model : engine.models()) {
      boolean enough = groups.getOrDefault(model.name(), 0) >= wanted;
      int spares = enough ? SPARES : 0;
      if (free.size() < model.size() + spares) {
        continue;
      }
      Proposal proposal = cheapest(free, model);
      double left = Math.max(0.05, 1 - proposal.readyMillis() / HORIZON_MILLIS);
      double worth = need(model, groups) * left;
      if (worth > bestWorth) {
        best = proposal;
        bestWorth = worth;
      }
    }
    return best;
  }

  /** Groups of each model when every domain-sized share of nodes has one of each, and spares. */
  private static double wantedGroups(EngineSpec engine, int nodes) {
    int together = SPARES;
    for (ModelSpec model : engine.models()) {
      together += model.size();
    }
    return (double) nodes / together;
  }

  /**
   * The model that a spare should hold next.
   *
   * @param engine the arithmetic of the engines
   * @param heldByDomain the free nodes of the domain that hold each model
   * @return the model
   */
  static ModelSpec modelToStage(EngineSpec engine, Map<String, Integer> heldByDomain) {
    return engine.models().stream()
        .max(Comparator.comparingDouble(model -> need(model, heldByDomain)))
        .orElseThrow();
  }

  static double need(ModelSpec model, Map<String, Integer> groups) {
    return model.share() / (1 + groups.getOrDefault(model.name(), 0));
  }

  static int joinMillis(Node node, ModelSpec model) {
    if (model.name().equals(node.model())) {
      return REJOIN_MILLIS;
    }
    return node.staged().contains(model.name()) ? model.warmMillis() : model.loadMillis();
  }

  private static Proposal cheapest(List<Node> free, ModelSpec model) {
    List<Node> sorted = new ArrayList<>(free);
    sorted.sort(
        Comparator.comparingInt((Node node) -> joinMillis(node, model)).thenComparing(Node::id));
    List<Node> members = sorted.subList(0, model.size());
    int loads = 0;
    int slowest = 0;
    for (Node node : members) {
      int time = joinMillis(node, model);
      slowest = Math.max(slowest, time);
      if (time == model.loadMillis()) {
        loads++;
      }
    }
    return new Proposal(model, List.copyOf(members), loads, slowest);
  }

  static Map<String, Integer> held(List<Node> nodes) {
    Map<String, Integer> held = new HashMap<>();
    for (Node node : nodes) {
      node.staged().forEach(model -> held.merge(model, 1, Integer::sum));
    }
    return held;
  }
}
