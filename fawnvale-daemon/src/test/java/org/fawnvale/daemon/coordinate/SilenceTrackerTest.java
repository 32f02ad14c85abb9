package org.fawnvale.daemon.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.readiness.ReadinessTable;
import org.junit.jupiter.api.Test;

/** Guards against a common silence that counts against the nodes that are heard last after it. */
class SilenceTrackerTest {

  private static final String PROBER = "prober";
  private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int COMMON_SILENCE_MILLIS = 10_000;
  private static final int ROUND_MILLIS = 100;

  private final List<Node> nodes =
      IntStream.range(0, 5)
          .mapToObj(i -> new Node("n" + i, "dc", "f", "", "", null, false))
          .toList();
  private final SilenceTracker tracker = new SilenceTracker();
  private long version;

  /** Returns the views of a round in which only the first nodes have fresh reports. */
  private Map<String, NodeView> round(long millis, int heard, boolean acceptConnections) {
    long now = TimeUnit.MILLISECONDS.toNanos(millis);
    ReadinessTable table = ReadinessTable.create(FRESH_NANOS);
    version++;
    table.setReports(
        PROBER, version, nodes.subList(0, heard).stream().map(this::reportOf).toList());
    table.renewReports(PROBER, version, now, new int[heard]);
    return tracker.update(nodes, Set.of(), table, name -> acceptConnections, now);
  }

  private NodeReport reportOf(Node node) {
    return new NodeReport(node.name(), "1", null, 0, null, null, NodeReport.State.IDLE, 0, 0);
  }

  private Map<String, NodeView> afterCommonSilence(boolean acceptConnections) {
    round(0, nodes.size(), acceptConnections);
    for (int millis = ROUND_MILLIS; millis < COMMON_SILENCE_MILLIS; millis += ROUND_MILLIS) {
      round(millis, 0, acceptConnections);
    }
    return round(COMMON_SILENCE_MILLIS, 3, acceptConnections);
  }

  @Test
  void nodesThatAcceptConnectionsAreSilentOnlySinceMostNodesAnswer() {
    Map<String, NodeView> views = afterCommonSilence(true);
    assertThat(views.get("n0").isAlive()).isTrue();
    assertThat(views.get("n4").isAlive()).isFalse();
    assertThat(views.get("n4").silentMillis()).isLessThanOrEqualTo(ROUND_MILLIS);
  }

  @Test
  void nodesThatAcceptNoConnectionsAreSilentFromTheStart() {
    Map<String, NodeView> views = afterCommonSilence(false);
    assertThat(views.get("n4").silentMillis()).isEqualTo(COMMON_SILENCE_MILLIS - ROUND_MILLIS);
  }

  @Test
  void aSingleSilentNodeIsSilentFromTheStartAlthoughItAcceptsConnections() {
    round(0, 5, true);
    round(ROUND_MILLIS, 4, true);
    Map<String, NodeView> views = round(COMMON_SILENCE_MILLIS, 4, true);
    assertThat(views.get("n4").silentMillis()).isEqualTo(COMMON_SILENCE_MILLIS - ROUND_MILLIS);
  }
}
