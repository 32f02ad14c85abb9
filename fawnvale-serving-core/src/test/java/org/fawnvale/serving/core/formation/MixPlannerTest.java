package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/** How many groups of each model the free nodes form. */
class MixPlannerTest {

  private static final EngineSpec ENGINE = GroupPlannerTest.ENGINE;
  private static final Map<String, Integer> NONE = Map.of();
  private static final Predicate<Node> NEVER = node -> false;

  static Node node(String id, String domain, String model, String... staged) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 1);
    return new Node(
        NodeIncarnation.only(id),
        "engines",
        endpoint,
        "here",
        18,
        false,
        domain,
        model,
        List.of(staged),
        null);
  }

  private static List<Node> holders(String domain, int count, String model, String... staged) {
    List<Node> nodes = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      nodes.add(node(domain + "-" + model + index, domain, model, staged));
    }
    return nodes;
  }

  private static Map<String, List<Node>> emptyDomains(int count, int size) {
    Map<String, List<Node>> domains = new HashMap<>();
    for (int domain = 0; domain < count; domain++) {
      domains.put("d" + domain, holders("d" + domain, size, null));
    }
    return domains;
  }

  private static MixPlanner mix(double large, double small) {
    return new MixPlanner(ENGINE, new ModelDemand(Map.of("large", large, "small", small)));
  }

  private static int sum(Map<String, List<Integer>> choices, int model) {
    return choices.values().stream().mapToInt(choice -> choice.get(model)).sum();
  }

  @Test
  void groupsFollowTheDeclaredSharesBeforeAnyObservation() {
    MixPlanner planner = new MixPlanner(ENGINE, ModelDemand.declared(ENGINE));
    Map<String, List<Integer>> choices = planner.choose(emptyDomains(7, 9), NONE, JoinRule.ANY);
    assertThat(sum(choices, 0)).isEqualTo(8);
    assertThat(sum(choices, 1)).isEqualTo(9);
  }

  @Test
  void theMixIsChosenForAllDomainsTogether() {
    Map<String, List<Integer>> choices = mix(1, 1).choose(emptyDomains(2, 9), NONE, JoinRule.ANY);
    assertThat(choices.values()).containsExactlyInAnyOrder(List.of(2, 0), List.of(0, 3));
  }

  @Test
  void theModelWithMoreDemandGetsMoreGroups() {
    Map<String, List<Integer>> even = mix(1, 1).choose(emptyDomains(6, 9), NONE, JoinRule.ANY);
    Map<String, List<Integer>> skewed = mix(2, 1).choose(emptyDomains(6, 9), NONE, JoinRule.ANY);
    assertThat(sum(skewed, 0)).isGreaterThan(sum(even, 0));
    assertThat(sum(skewed, 1)).isLessThan(sum(even, 1));
  }

  @Test
  void existingGroupsCountForTheirModel() {
    Map<String, List<Node>> free = Map.of("d", holders("d", 4, "large", "small"));
    assertThat(mix(1, 1).choose(free, Map.of("large", 5, "small", 1), JoinRule.HOLDERS))
        .containsEntry("d", List.of(0, 1));
    assertThat(mix(1, 1).choose(free, Map.of("large", 1, "small", 5), JoinRule.HOLDERS))
        .containsEntry("d", List.of(1, 0));
  }

  @Test
  void nodesJoinOnlyGroupsOfModelsThatTheyHold() {
    List<Node> nodes = holders("d", 3, "large");
    nodes.addAll(holders("d", 1, "small"));
    Map<String, List<Integer>> choices =
        mix(1, 1).choose(Map.of("d", nodes), NONE, JoinRule.HOLDERS);
    assertThat(choices).containsEntry("d", List.of(0, 0));
  }

  @Test
  void noNodeIsCountedForTwoGroups() {
    List<Node> nodes = holders("d", 6, "large", "small");
    Map<String, List<Integer>> choices =
        mix(1, 1).choose(Map.of("d", nodes), NONE, JoinRule.HOLDERS);
    assertThat(choices.get("d")).isIn(List.of(1, 0), List.of(0, 2));
  }

  @Test
  void nodesThatHoldOneModelOnlyAreUsedForItFirst() {
    List<Node> nodes = holders("d", 4, "large", "small");
    nodes.addAll(holders("d", 3, "small"));
    List<FormationPolicy.Proposal> proposals =
        FormationPolicy.proposals(nodes, List.of(1, 1), ENGINE, JoinRule.HOLDERS);
    assertThat(proposals).extracting(proposal -> proposal.model().name()).hasSize(2);
    assertThat(proposals.get(0).members()).allMatch(node -> node.id().contains("large"));
  }

  @Test
  void aNodeIsReservedForTheModelThatNeedsItMore() {
    List<Node> nodes = holders("d", 4, "large", "small");
    MixPlanner mix = mix(1, 1);
    JoinRule scarceLarge =
        new ScarceModels(ENGINE, mix, Map.of("large", 1, "small", 8), nodes, NEVER);
    JoinRule scarceSmall =
        new ScarceModels(ENGINE, mix, Map.of("large", 8, "small", 1), nodes, NEVER);
    assertThat(scarceLarge.mayJoin(nodes.get(0), ENGINE.model("small"))).isFalse();
    assertThat(scarceLarge.mayJoin(nodes.get(0), ENGINE.model("large"))).isTrue();
    assertThat(scarceSmall.mayJoin(nodes.get(0), ENGINE.model("small"))).isTrue();
  }

  @Test
  void aNodeThatWasIdleForTooLongIsNotReserved() {
    List<Node> nodes = holders("d", 4, "large", "small");
    Map<String, Integer> groupCounts = Map.of("large", 1, "small", 8);
    JoinRule rule = new ScarceModels(ENGINE, mix(1, 1), groupCounts, nodes, node -> true);
    assertThat(rule.mayJoin(nodes.get(0), ENGINE.model("small"))).isTrue();
  }

  @Test
  void aNodeIsNotReservedForAModelThatItsDomainCannotForm() {
    List<Node> nodes = holders("d", 3, "large", "small");
    JoinRule rule =
        new ScarceModels(ENGINE, mix(1, 1), Map.of("large", 1, "small", 8), nodes, NEVER);
    assertThat(rule.mayJoin(nodes.get(0), ENGINE.model("small"))).isTrue();
  }
}
