package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.model.Node;
import org.junit.jupiter.api.Test;

/** Entries that vanish while the store fails, and while it is healthy. */
class VanishedNodesTest {

  private static final long MILLI = 1_000_000L;
  private static final Node NODE = MixPlannerTest.node("a", "d", "large");

  private final VanishedNodes nodes = new VanishedNodes();

  private Collection<Node> listed(boolean mayComeBack, long millis, Node... present) {
    return nodes.complete(List.of(present), mayComeBack, millis * MILLI);
  }

  @Test
  void aVanishedEntryIsRetainedWhileItMayComeBack() {
    listed(false, 0, NODE);
    assertThat(listed(true, 100)).containsExactly(NODE);
    assertThat(listed(true, 1_600)).containsExactly(NODE);
    assertThat(listed(true, 1_601)).isEmpty();
    assertThat(nodes.hasRetainedNodes()).isFalse();
  }

  @Test
  void aVanishedEntryIsDroppedOnceEntriesCannotComeBack() {
    listed(false, 0, NODE);
    assertThat(listed(true, 100)).containsExactly(NODE);
    assertThat(listed(false, 150)).isEmpty();
    assertThat(listed(true, 200)).isEmpty();
  }

  @Test
  void anEntryThatVanishesFromAHealthyStoreIsNotRetained() {
    listed(false, 0, NODE);
    assertThat(listed(false, 100)).isEmpty();
  }

  @Test
  void aReappearedEntryReplacesTheRetainedOne() {
    listed(false, 0, NODE);
    listed(true, 100);
    Node changed = MixPlannerTest.node("a", "d", "small");
    assertThat(listed(true, 200, changed)).containsExactly(changed);
    assertThat(nodes.hasRetainedNodes()).isFalse();
  }

  @Test
  void aDrainingNodeIsNotRetained() {
    listed(false, 0, NODE.asDraining());
    assertThat(listed(true, 100)).isEmpty();
  }
}
