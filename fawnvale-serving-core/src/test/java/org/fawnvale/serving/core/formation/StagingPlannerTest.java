package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against loads that complete no group while few may run at a time. */
class StagingPlannerTest {

  private static final EngineSpec ENGINE = MixFollowsDemandTest.ENGINE;

  private final StagingPlanner staging = new StagingPlanner(false);
  private final List<Node> nodes = new ArrayList<>();

  private void add(String id, String domain, @Nullable String model) {
    nodes.add(
        new Node(
            NodeIncarnation.only(id),
            "engines",
            new Endpoint("10.0.0.1", 1),
            "here",
            24,
            false,
            domain,
            model,
            List.of(),
            null));
  }

  private List<StagingPlanner.Candidate> candidates() {
    MixPlanner mix = new MixPlanner(ENGINE, new ModelDemand(Map.of("large", 0.2, "small", 0.1)));
    return staging.candidates(nodes, ENGINE, mix, Map.of("large", 5, "small", 5), Map.of());
  }

  private List<String> ids() {
    return candidates().stream().map(candidate -> candidate.node().id()).toList();
  }

  private void addSurvivors(int count) {
    for (int number = 0; number < count; number++) {
      add("survivor" + number, "broken", "large");
    }
  }

  @Test
  void nodeThatCompletesAGroupLoadsBeforeOnesThatComeFirstAndBeginOne() {
    add("empty0", "bare", null);
    add("empty1", "bare", null);
    add("last", "broken", null);
    addSurvivors(7);
    assertThat(ids()).containsExactly("last", "empty0", "empty1");
  }

  /** A plan is made each 0.1 s, and few loads begin at a time. */
  @Test
  void loadsOfOneGroupAreNotSpreadOverDomainsByLaterPlans() {
    for (int number = 0; number < 8; number++) {
      add("a" + number, "one", null);
      add("b" + number, "two", null);
    }
    List<String> begun = new ArrayList<>();
    for (int plan = 0; plan < 8; plan++) {
      StagingPlanner.Candidate first = candidates().get(0);
      staging.started(first, 0);
      begun.add(first.node().domain());
    }
    assertThat(begun).containsOnly("one");
  }

  @Test
  void nodeOfAGroupThatLacksNoneMoreIsNotPreferred() {
    add("extra", "broken", null);
    addSurvivors(8);
    add("empty", "half", null);
    add("holder", "half", "large");
    assertThat(ids()).containsExactly("empty", "extra");
  }
}
