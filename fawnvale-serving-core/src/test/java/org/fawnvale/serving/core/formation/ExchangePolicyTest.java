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
 * One domain with four groups of the small model, in a fleet where its 24 groups are at half of
 * their capacity. The large model keeps 3.3 groups busy.
 */
class ExchangePolicyTest {

  private static final double BUSY_NODES = 72;

  /** Observed demand, with noise of a tenth in the large model's. */
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
  void groupsAreExchangedForAModelThatIsNearlyFull() {
    assertThat(plan(4, BUSY_NODES)).isNotNull();
  }

  /**
   * By shares alone two groups would be exchanged, but the gain is less than the cost of the
   * exchange.
   */
  @Test
  void groupsAreKeptWhileTheOtherModelHasCapacityLeft() {
    assertThat(plan(5, 0)).isNotNull();
    assertThat(plan(5, BUSY_NODES)).isNull();
  }
}
