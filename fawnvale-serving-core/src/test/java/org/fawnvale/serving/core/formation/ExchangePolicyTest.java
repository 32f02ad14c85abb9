package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/**
 * One domain of four small groups, in a fleet where 24 small ones are at half of their load.
 * Callers keep 3.3 groups of the larger model busy.
 */
class ExchangePolicyTest {

  private static final double BUSY_NODES = 72;

  /** As measured while five large groups served; noise had made it a tenth higher. */
  private static final Map<String, Double> DEMAND = Map.of("large", 0.0460, "small", 0.1579);

  private final List<ObservedGroup> groups = new ArrayList<>();

  ExchangePolicyTest() {
    for (int group = 0; group < 4; group++) {
      List<Node> members = new ArrayList<>();
      for (int rank = 0; rank < 4; rank++) {
        members.add(node(group, rank));
      }
      groups.add(new ObservedGroup(new GroupKey("g" + group, 1 + group), members));
    }
  }

  private static Node node(int group, int rank) {
    MemberState state = rank == 0 ? MemberState.OPEN : MemberState.READY;
    return new Node(
        NodeIncarnation.only("n" + group + rank),
        "engines",
        new Endpoint("10.0.0.1", 1),
        "here",
        24,
        false,
        "d",
        "small",
        List.of("large"),
        new Membership("g" + group, 1 + group, rank, state));
  }

  private ExchangePolicy.Plan plan(int large, double busyNodes) {
    MixPlanner mix =
        new MixPlanner(MixFollowsDemandTest.ENGINE, new ModelDemand(DEMAND, 1, busyNodes));
    return new ExchangePolicy(
            MixFollowsDemandTest.ENGINE, mix, Map.of("large", large, "small", 24), JoinRule.HOLDERS)
        .plan(List.of(), groups);
  }

  @Test
  void groupsAreTakenApartForAModelThatIsNearlyFull() {
    assertThat(plan(4, BUSY_NODES)).isNotNull();
  }

  /** By shares alone two groups would go; what callers gain is less than the exchange costs. */
  @Test
  void groupsStayWhereTheOtherModelIsFullerButHasRoom() {
    assertThat(plan(5, 0)).isNotNull();
    assertThat(plan(5, BUSY_NODES)).isNull();
  }
}
