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
 * Finds groups of one model whose nodes, together with the free ones of their domain, would serve
 * callers better as groups of another model.
 */
final class ExchangePolicy {

  /**
   * Minimal ratio of gain to loss. The loss grows with the ninth power of the demand, so noise of a
   * tenth in the demand doubles the ratio; a lower limit would exchange groups back and forth.
   */
  private static final double MIN_GAIN_RATIO = 3.0;

  /** Limits how many groups one exchange dissolves, since callers lose their capacity at once. */
  private static final int MAX_VICTIMS = 4;

  /** How long an exchange pays off, in seconds: about as long as demand stays within its noise. */
  private static final double BENEFIT_SECONDS = 10;

  /**
   * How long the nodes of an exchange serve nobody, in seconds: the heads close and the nodes join
   * new groups.
   */
  private static final double EXCHANGE_SECONDS = 2.5;

  /**
   * Additional cost of dissolving a group, in seconds of one group's work: its last streams occupy
   * its nodes, and its connections are lost. Without this cost, noise in the demand causes repeated
   * exchanges even in a lightly loaded fleet.
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
   * Looks for groups to dissolve in one domain.
   *
   * @param free the domain's free nodes
   * @param groups the domain's groups
   * @return the smallest set of groups of one model whose exchange gains, with the groups to form
   *     instead; null when there is none
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
   * Groups to dissolve and the groups that are formed instead.
   *
   * @param victims the groups to dissolve
   * @param packing the number of groups per model that their nodes and the free ones form, in the
   *     order of the models
   */
  record Plan(List<ObservedGroup> victims, List<Integer> packing) {}

  /** Describes the plan and its inputs for the log. */
  String describe(Plan plan) {
    return "groups=" + plan.victims().size() + " for=" + plan.packing() + describeMix();
  }

  /**
   * Describes for each model the number of its groups and its demand, as in {@link
   * MixPlanner#demand}.
   */
  String describeMix() {
    StringBuilder text = new StringBuilder();
    for (ModelSpec model : engine.models()) {
      int groups = groupCounts.getOrDefault(model.name(), 0);
      text.append(' ').append(model.name()).append('=').append(groups);
      text.append('/').append(String.format(Locale.ROOT, "%.4f", mix.demand(model)));
    }
    return text.toString();
  }

  /**
   * Counts the members that hold fewer than two models. Groups with few of them are exchanged
   * first.
   */
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
        && group.anyMemberIs(MemberState.OPEN);
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

  /**
   * Compares the work that is done in time after the exchange with the work that is lost during it.
   */
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
