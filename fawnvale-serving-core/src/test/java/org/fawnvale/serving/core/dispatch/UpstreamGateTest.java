package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;

/** What nodes ask for with their answers, and for how long it holds. */
class UpstreamGateTest {

  private static final long SECOND = 1_000_000_000L;

  /** The steady time may begin anywhere, below zero too. */
  private static final long START = -5 * SECOND;

  private static final NodeIncarnation LIFE = new NodeIncarnation("n", 1);
  private static final NodeResponse LEAVES = new NodeResponse(200, false, true, 0, null, null);
  private static final NodeResponse PLAIN = new NodeResponse(200, false, false, 0, null, null);

  private final UpstreamGate gate =
      new UpstreamGate(
          new SharedLimits(
              new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));

  private static NodeResponse restOf(long millis) {
    return new NodeResponse(503, true, false, millis, null, null);
  }

  private static Node node(NodeIncarnation life) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    return new Node(life, "s", endpoint, "a", 1, false, "", null, List.of(), null);
  }

  @Test
  void aRestHoldsForAllRequestsUntilItsEnd() {
    assertThat(gate.recordResponse(LIFE, restOf(3_000), START))
        .isEqualTo(UpstreamGate.Change.PAUSED);
    assertThat(gate.acceptsRequests(LIFE, START)).isFalse();
    assertThat(gate.acceptsRequests(LIFE, START + 3 * SECOND - 1)).isFalse();
    assertThat(gate.isPaused(LIFE, START + 3 * SECOND - 1)).isTrue();
    assertThat(gate.acceptsRequests(LIFE, START + 3 * SECOND)).isTrue();
  }

  @Test
  void laterAnswersThatAskForNothingDoNotEndIt() {
    gate.recordResponse(LIFE, restOf(3_000), START);
    assertThat(gate.recordResponse(LIFE, PLAIN, START + SECOND))
        .isEqualTo(UpstreamGate.Change.NONE);
    assertThat(gate.acceptsRequests(LIFE, START + 2 * SECOND)).isFalse();
  }

  @Test
  void ofTwoRestsTheOneThatEndsLaterHolds() {
    gate.recordResponse(LIFE, restOf(3_000), START);
    assertThat(gate.recordResponse(LIFE, restOf(500), START + SECOND))
        .isEqualTo(UpstreamGate.Change.NONE);
    assertThat(gate.acceptsRequests(LIFE, START + 2 * SECOND)).isFalse();
    assertThat(gate.recordResponse(LIFE, restOf(3_000), START + SECOND))
        .isEqualTo(UpstreamGate.Change.PAUSED);
    assertThat(gate.acceptsRequests(LIFE, START + 3 * SECOND)).isFalse();
    assertThat(gate.acceptsRequests(LIFE, START + 4 * SECOND)).isTrue();
  }

  @Test
  void aNewLifeUnderTheSameIdHasAskedForNothing() {
    gate.recordResponse(LIFE, restOf(3_000), START);
    gate.recordResponse(LIFE, LEAVES, START);
    assertThat(gate.acceptsRequests(new NodeIncarnation("n", 2), START + 1)).isTrue();
  }

  @Test
  void leavingIsForEver() {
    assertThat(gate.recordResponse(LIFE, LEAVES, START)).isEqualTo(UpstreamGate.Change.LEAVING);
    assertThat(gate.recordResponse(LIFE, LEAVES, START)).isEqualTo(UpstreamGate.Change.NONE);
    assertThat(gate.acceptsRequests(LIFE, START + 3_600 * SECOND)).isFalse();
    assertThat(gate.isPaused(LIFE, START)).isFalse();
  }

  @Test
  void theFirstEndOfSomeRestsIsTold() {
    NodeIncarnation other = new NodeIncarnation("m", 1);
    gate.recordResponse(LIFE, restOf(3_000), START);
    gate.recordResponse(other, restOf(2_000), START);
    List<Node> nodes = List.of(node(LIFE), node(other), node(new NodeIncarnation("free", 1)));
    assertThat(gate.nanosUntilAvailable(nodes, START + SECOND)).isEqualTo(SECOND);
    assertThat(gate.nanosUntilAvailable(nodes, START + 3 * SECOND)).isEqualTo(UpstreamGate.NOW);
  }

  @Test
  void whatIsKeptIsBounded() {
    for (int number = 0; number < 40_000; number++) {
      gate.recordResponse(new NodeIncarnation("n" + number, 1), restOf(60_000), START);
      gate.recordResponse(new NodeIncarnation("n" + number, 1), LEAVES, START);
    }
    assertThat(gate.pausedCount(START)).isEqualTo(16_384);
    assertThat(gate.leavingCount()).isEqualTo(16_384);
    assertThat(gate.acceptsRequests(new NodeIncarnation("n39999", 1), START)).isFalse();
  }
}
