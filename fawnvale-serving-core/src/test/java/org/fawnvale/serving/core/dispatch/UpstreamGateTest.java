package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeAnswer;
import org.fawnvale.serving.core.model.NodeLife;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;

/** What nodes ask for with their answers, and for how long it holds. */
class UpstreamGateTest {

  private static final long SECOND = 1_000_000_000L;

  /** The steady time may begin anywhere, below zero too. */
  private static final long START = -5 * SECOND;

  private static final NodeLife LIFE = new NodeLife("n", 1);
  private static final NodeAnswer LEAVES = new NodeAnswer(200, false, true, 0, null, null);
  private static final NodeAnswer PLAIN = new NodeAnswer(200, false, false, 0, null, null);

  private final UpstreamGate gate =
      new UpstreamGate(
          new SharedLimits(
              new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));

  private static NodeAnswer restOf(long millis) {
    return new NodeAnswer(503, true, false, millis, null, null);
  }

  private static Node node(NodeLife life) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    return new Node(life, "s", endpoint, "a", 1, false, "", null, List.of(), null);
  }

  @Test
  void aRestHoldsForAllRequestsUntilItsEnd() {
    assertThat(gate.hear(LIFE, restOf(3_000), START)).isEqualTo(UpstreamGate.News.RESTS);
    assertThat(gate.takesRequests(LIFE, START)).isFalse();
    assertThat(gate.takesRequests(LIFE, START + 3 * SECOND - 1)).isFalse();
    assertThat(gate.rests(LIFE, START + 3 * SECOND - 1)).isTrue();
    assertThat(gate.takesRequests(LIFE, START + 3 * SECOND)).isTrue();
  }

  @Test
  void laterAnswersThatAskForNothingDoNotEndIt() {
    gate.hear(LIFE, restOf(3_000), START);
    assertThat(gate.hear(LIFE, PLAIN, START + SECOND)).isEqualTo(UpstreamGate.News.NONE);
    assertThat(gate.takesRequests(LIFE, START + 2 * SECOND)).isFalse();
  }

  @Test
  void ofTwoRestsTheOneThatEndsLaterHolds() {
    gate.hear(LIFE, restOf(3_000), START);
    assertThat(gate.hear(LIFE, restOf(500), START + SECOND)).isEqualTo(UpstreamGate.News.NONE);
    assertThat(gate.takesRequests(LIFE, START + 2 * SECOND)).isFalse();
    assertThat(gate.hear(LIFE, restOf(3_000), START + SECOND)).isEqualTo(UpstreamGate.News.RESTS);
    assertThat(gate.takesRequests(LIFE, START + 3 * SECOND)).isFalse();
    assertThat(gate.takesRequests(LIFE, START + 4 * SECOND)).isTrue();
  }

  @Test
  void aNewLifeUnderTheSameIdHasAskedForNothing() {
    gate.hear(LIFE, restOf(3_000), START);
    gate.hear(LIFE, LEAVES, START);
    assertThat(gate.takesRequests(new NodeLife("n", 2), START + 1)).isTrue();
  }

  @Test
  void leavingIsForEver() {
    assertThat(gate.hear(LIFE, LEAVES, START)).isEqualTo(UpstreamGate.News.LEAVES);
    assertThat(gate.hear(LIFE, LEAVES, START)).isEqualTo(UpstreamGate.News.NONE);
    assertThat(gate.takesRequests(LIFE, START + 3_600 * SECOND)).isFalse();
    assertThat(gate.rests(LIFE, START)).isFalse();
  }

  @Test
  void theFirstEndOfSomeRestsIsTold() {
    NodeLife other = new NodeLife("m", 1);
    gate.hear(LIFE, restOf(3_000), START);
    gate.hear(other, restOf(2_000), START);
    List<Node> nodes = List.of(node(LIFE), node(other), node(new NodeLife("free", 1)));
    assertThat(gate.nanosToFirstEnd(nodes, START + SECOND)).isEqualTo(SECOND);
    assertThat(gate.nanosToFirstEnd(nodes, START + 3 * SECOND)).isEqualTo(UpstreamGate.NOW);
  }

  @Test
  void whatIsKeptIsBounded() {
    for (int number = 0; number < 40_000; number++) {
      gate.hear(new NodeLife("n" + number, 1), restOf(60_000), START);
      gate.hear(new NodeLife("n" + number, 1), LEAVES, START);
    }
    assertThat(gate.resting(START)).isEqualTo(16_384);
    assertThat(gate.leaving()).isEqualTo(16_384);
    assertThat(gate.takesRequests(new NodeLife("n39999", 1), START)).isFalse();
  }
}
