package org.fawnvale.core.planning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Replica;
import org.junit.jupiter.api.Test;

class RolloutMonitorTest {

  private static final Bundle BUNDLE =
      new Bundle(
          "b", List.of(new Model("m", "2", 1, List.of())), List.of(), List.of(), List.of(), null);
  private static final DomainState DOMAIN =
      new DomainState(
          "dc", "f", 5, List.of(new Replica("r", "role", "m", "2", 5, List.of("a"), false)), "o");

  private final RolloutMonitor monitor = RolloutMonitor.create(1000);

  private static Map<String, NodeView> node(NodeReport.State state, long silentMillis) {
    NodeReport report = new NodeReport("a", "1", "r", 5, "2", "m@2", state, 0, 0);
    Node node = new Node("a", "dc", "f", "", "", null, false);
    return Map.of("a", new NodeView(node, report, silentMillis, 0));
  }

  private boolean stops(NodeReport.State state, long silentMillis, long nowMillis) {
    return monitor
        .findFailure(List.of(DOMAIN), BUNDLE, node(state, silentMillis), nowMillis)
        .isPresent();
  }

  @Test
  void stopsWhenAMemberFails() {
    assertThat(stops(NodeReport.State.FAILED, 0, 0)).isTrue();
  }

  @Test
  void stopsWhenARebuiltReplicaIsNotReadyInTime() {
    assertThat(stops(NodeReport.State.LOADING, 0, 0)).isFalse();
    assertThat(stops(NodeReport.State.LOADING, 0, 1000)).isFalse();
    assertThat(stops(NodeReport.State.LOADING, 0, 1001)).isTrue();
  }

  @Test
  void ignoresMembersThatCannotBeReached() {
    assertThat(stops(NodeReport.State.LOADING, 0, 0)).isFalse();
    assertThat(stops(NodeReport.State.FAILED, 50, 2000)).isFalse();
    assertThat(stops(NodeReport.State.LOADING, 0, 3000)).isFalse();
  }
}
