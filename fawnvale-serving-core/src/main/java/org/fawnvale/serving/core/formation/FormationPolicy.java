package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Decides which free nodes of one domain form a group of which model, and what spares hold.
 *
 * <p>Each domain has one primary model. Its nodes all hold the weights of that model, so that
 * survivors of any of its groups form a new one within tenths of a second, where a load from the
 * weight store takes many seconds. Primary models are dealt so that the groups that last follow the
 * models' shares of the work.
 */
final class FormationPolicy {

  private static final int REJOIN_MILLIS = 200;

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
   * Deals a primary model to each domain: the one that most of its nodes hold, or else the one that
   * has the fewest nodes for its share.
   *
   * @param nodes the nodes of all domains
   * @param engine the arithmetic of the engines
   * @return the model by domain
   */
  static Map<String, ModelSpec> primaries(Collection<Node> nodes, EngineSpec engine) {
    Map<String, List<Node>> domains = new TreeMap<>();
    for (Node node : nodes) {
      domains.computeIfAbsent(node.domain(), domain -> new ArrayList<>()).add(node);
    }
    Map<String, ModelSpec> primaries = new HashMap<>();
    Map<String, Integer> dealt = new HashMap<>();
    domains.forEach(
        (domain, members) -> {
          ModelSpec held = mostHeld(members, engine);
          if (held != null) {
            primaries.put(domain, held);
            dealt.merge(held.name(), members.size(), Integer::sum);
          }
        });
    domains.forEach(
        (domain, members) -> {
          if (!primaries.containsKey(domain)) {
            ModelSpec model = neediest(engine, dealt);
            primaries.put(domain, model);
            dealt.merge(model.name(), members.size(), Integer::sum);
          }
        });
    return primaries;
  }

  private static @Nullable ModelSpec mostHeld(List<Node> members, EngineSpec engine) {
    ModelSpec best = null;
    int most = 0;
    for (ModelSpec model : engine.models()) {
      int held = 0;
      for (Node node : members) {
        held += holds(node, model) ? 1 : 0;
      }
      if (held > most) {
        best = model;
        most = held;
      }
    }
    return best;
  }

  private static ModelSpec neediest(EngineSpec engine, Map<String, Integer> dealt) {
    return engine.models().stream()
        .max(
            Comparator.comparingDouble(
                model -> model.share() / (1 + dealt.getOrDefault(model.name(), 0))))
        .orElseThrow();
  }

  /**
   * Tells whether a node has a model's weights, in memory or on its host.
   *
   * @param node the node
   * @param model the model
   * @return true when it joins a group of the model without a load from the weight store
   */
  static boolean holds(Node node, ModelSpec model) {
    return model.name().equals(node.model()) || node.staged().contains(model.name());
  }

  /**
   * Proposes the next group of a domain. Only nodes that hold a model's weights join it: a node
   * that has to load them first would hold the others idle for as long, while they might form a
   * group with the survivors of the next loss. Two cases differ: loads that are free, and a model
   * that no group serves at all.
   *
   * @param free the domain's free nodes
   * @param primary the domain's primary model
   * @param engine the arithmetic of the engines
   * @param groups the groups of each model that stand or are being formed, in all domains
   * @param loadsAreFree whether loads cost next to nothing, as before the first request
   * @return the proposal; null when no group fits
   */
  static @Nullable Proposal propose(
      List<Node> free,
      ModelSpec primary,
      EngineSpec engine,
      Map<String, Integer> groups,
      boolean loadsAreFree) {
    if (loadsAreFree && free.size() >= primary.size()) {
      return cheapest(free, primary);
    }
    Proposal ofPrimary = fromHolders(free, primary);
    if (ofPrimary != null) {
      return ofPrimary;
    }
    for (ModelSpec model : engine.models()) {
      Proposal proposal = fromHolders(free, model);
      boolean missing = groups.getOrDefault(model.name(), 0) == 0;
      if (proposal == null && missing && free.size() >= model.size()) {
        proposal = cheapest(free, model);
      }
      if (proposal != null) {
        return proposal;
      }
    }
    return null;
  }

  private static @Nullable Proposal fromHolders(List<Node> free, ModelSpec model) {
    List<Node> holders = free.stream().filter(node -> holds(node, model)).toList();
    return holders.size() >= model.size() ? cheapest(holders, model) : null;
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
}
