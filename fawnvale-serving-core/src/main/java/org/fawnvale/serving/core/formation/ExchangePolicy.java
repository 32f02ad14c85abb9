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
import org.jspecify.annotations.Nullable;

/**
 * Finds groups of one model whose nodes, with the free ones of their domain, serve callers better
 * as groups of another.
 */
final class ExchangePolicy {

  /**
   * How many times what is lost the gain must be. Loss grows with the ninth power of the demand, so
   * that a tenth of noise in it doubles the ratio; with less, groups would be taken apart to and
   * fro.
   */
  private static final double MIN_GAIN_RATIO = 3.0;

  /** Groups that one exchange takes apart at most; more would be felt by callers at once. */
  private static final int MAX_VICTIMS = 4;

  /** How long an exchange serves, in seconds: about as long as demand stays within its noise. */
  private static final double BENEFIT_SECONDS = 10;

  /** How long the nodes of an exchange serve nobody, in seconds: its head closes, members join. */
  private static final double EXCHANGE_SECONDS = 2.5;

  /**
   * What taking a group apart costs besides, in seconds of a group: its last streams keep its nodes
   * and its connections are lost. Without it a fleet at a third of its load exchanged groups five
   * times in three seconds, to and fro with a tenth of noise in the demand.
   */
  private static final double DISSOLUTION_COST_SECONDS = 0.5;

  private final EngineSpec engine;
  private final MixPlanner mix;
  private final Map<String, Integer> groupCounts;
  private final JoinRule rule;

  ExchangePolicy(
      EngineSpec engine, MixPlanner mix, Map<String, Integer> groupCounts, JoinRule rule) {
    this.rule = rule;
    this.engine = engine;
    this.mix = mix;
    this.groupCounts = groupCounts;
  }

  /**
   * Looks for groups to take apart in one domain.
   *
   * @param free the domain's free nodes
   * @param groups the domain's groups
   * @return the groups to take apart, of one model and as few as gain, with what is formed instead;
   *     null when nothing gains
   */
  @Nullable Plan plan(List<Node> free, List<ObservedGroup> groups) {
    for (ModelSpec model : engine.models()) {
      List<ObservedGroup> open = new ArrayList<>();
      groups.stream().filter(group -> isOpen(group, model)).forEach(open::add);
      open.sort(Comparator.comparingLong(this::singleModelNodes));
      for (int count = 1; count <= Math.min(open.size(), MAX_VICTIMS); count++) {
        List<ObservedGroup> victims = open.subList(0, count);
        List<Integer> packing = gainingPacking(free, model, victims);
        if (packing != null) {
          return new Plan(List.copyOf(victims), packing);
        }
      }
    }
    return null;
  }

  /**
   * Groups to take apart and what is formed instead.
   *
   * @param victims the groups
   * @param packing the groups that their nodes and the free ones form, in the order of the models
   */
  record Plan(List<ObservedGroup> victims, List<Integer> packing) {}

  /** What the decision was made from, for the log. */
  String describe(Plan plan) {
    return "groups=" + plan.victims().size() + " for=" + plan.packing() + describeMix();
  }

  /** The groups of each model and the groups that it keeps busy, relative to one node. */
  String describeMix() {
    StringBuilder text = new StringBuilder();
    for (ModelSpec model : engine.models()) {
      int groups = groupCounts.getOrDefault(model.name(), 0);
      text.append(' ').append(model.name()).append('=').append(groups);
      text.append('/').append(String.format(Locale.ROOT, "%.4f", mix.demand(model)));
    }
    return text.toString();
  }

  /** Groups whose members hold several models are of most use for another. */
  private long singleModelNodes(ObservedGroup group) {
    return group.members().stream()
        .filter(
            node ->
                engine.models().stream().filter(model -> FormationPolicy.holds(node, model)).count()
                    < 2)
        .count();
  }

  private static boolean isOpen(ObservedGroup group, ModelSpec model) {
    Node head = group.head();
    return head != null
        && model.name().equals(head.model())
        && group.isComplete(model.size())
        && group.any(MemberState.OPEN);
  }

  private @Nullable List<Integer> gainingPacking(
      List<Node> free, ModelSpec model, List<ObservedGroup> victims) {
    List<Node> nodes = new ArrayList<>(free);
    victims.forEach(group -> nodes.addAll(group.members()));
    Map<String, Integer> remaining = new HashMap<>(groupCounts);
    remaining.merge(model.name(), -victims.size(), Integer::sum);
    String domain = nodes.get(0).domain();
    List<Integer> packing = mix.choose(Map.of(domain, nodes), remaining, rule).get(domain);
    boolean gains =
        packing != null
            && exceedsGainRatio(packing, remaining)
            && isWorthwhile(packing, remaining, victims.size());
    return gains ? packing : null;
  }

  /** What callers get in time afterwards against what they lose meanwhile. */
  private boolean isWorthwhile(List<Integer> packing, Map<String, Integer> remaining, int victims) {
    if (!mix.hasObservedWork()) {
      return true;
    }
    double gained = 0;
    double lost = victims * DISSOLUTION_COST_SECONDS;
    for (int index = 0; index < packing.size(); index++) {
      ModelSpec model = engine.models().get(index);
      int during = remaining.getOrDefault(model.name(), 0);
      double before = mix.lostWork(model, groupCounts.getOrDefault(model.name(), 0));
      gained += before - mix.lostWork(model, during + packing.get(index));
      lost += EXCHANGE_SECONDS * Math.max(0, mix.lostWork(model, during) - before);
    }
    return BENEFIT_SECONDS * gained > lost;
  }

  private boolean exceedsGainRatio(List<Integer> packing, Map<String, Integer> remaining) {
    double gained = 0;
    double lost = 0;
    for (int index = 0; index < packing.size(); index++) {
      ModelSpec model = engine.models().get(index);
      int before = groupCounts.getOrDefault(model.name(), 0);
      int after = remaining.getOrDefault(model.name(), 0) + packing.get(index);
      if (after == 0 && before > 0) {
        return false;
      }
      double change = mix.loss(model, before) - mix.loss(model, after);
      gained += Math.max(0, change);
      lost += Math.max(0, -change);
    }
    return lost > 0 && gained > MIN_GAIN_RATIO * lost;
  }
}
