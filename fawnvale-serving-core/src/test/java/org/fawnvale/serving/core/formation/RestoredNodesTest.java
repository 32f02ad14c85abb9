package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/** How the list is corrected after a rollback of the store until nodes write again. */
class RestoredNodesTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long MUCH_LATER = 600 * SECOND;

  private final RestoredNodes restored = new RestoredNodes();
  private final Map<String, Node> known = new LinkedHashMap<>();
  private final Map<String, Node> listed = new LinkedHashMap<>();
  private final Map<String, StorePosition> positions = new LinkedHashMap<>();

  private static Node node(String id, long started) {
    return new Node(
        new NodeIncarnation(id, started),
        "stock",
        new Endpoint("127.0.0.1", 1),
        "a",
        6,
        false,
        "",
        null,
        List.of(),
        null);
  }

  private static Node inGroup(Node node, String group, MemberState state) {
    return node.withGroup("large", List.of("large"), new Membership(group, 4, 0, state));
  }

  private void list(Node node, long revision) {
    listed.put(node.id(), node);
    positions.put(node.id(), new StorePosition(new StoreEra(2), revision));
  }

  private void addKnown(Node node) {
    known.put(node.id(), node);
  }

  private void rollBack(String... gone) {
    restored.storeRolledBack(known, Set.of(gone), listed, positions, 0);
  }

  private Node shown(String id, long atNanos) {
    return restored.complete(listed, positions, atNanos).stream()
        .filter(node -> node.id().equals(id))
        .findAny()
        .orElse(null);
  }

  @Test
  void aDrainingNodeIsShownAsDrainingUntilItsEntryIsRewritten() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 7), 20);
    rollBack();
    assertThat(shown("n", 0).draining()).isTrue();
    assertThat(shown("n", MUCH_LATER).draining()).isTrue();
    list(node("n", 7), 21);
    assertThat(shown("n", MUCH_LATER).draining()).isFalse();
  }

  @Test
  void aDrainingNodeIsShownAsDrainingAfterTwoRollbacks() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 7), 20);
    rollBack();
    addKnown(node("n", 7));
    rollBack();
    assertThat(shown("n", MUCH_LATER).draining()).isTrue();
  }

  @Test
  void aNodeThatTheCopyShowsAsDrainingIsDraining() {
    addKnown(node("n", 7));
    list(node("n", 7).asDraining(), 20);
    rollBack();
    assertThat(shown("n", 0).draining()).isTrue();
  }

  @Test
  void aDeletedEntryIsHiddenUntilEntriesOfDeadNodesHaveLapsed() {
    list(node("n", 7), 20);
    rollBack("n");
    assertThat(shown("n", 0)).isNull();
    assertThat(shown("n", 4 * SECOND)).isNull();
    assertThat(shown("n", 6 * SECOND)).isNotNull();
  }

  @Test
  void aDeletedEntryIsShownOnceItIsRewritten() {
    list(node("n", 7), 20);
    rollBack("n");
    assertThat(shown("n", 0)).isNull();
    list(node("n", 7), 22);
    assertThat(shown("n", SECOND)).isNotNull();
  }

  @Test
  void aRestartedNodeIsNotShownAsItsFormerIncarnation() {
    addKnown(node("n", 9));
    list(node("n", 7), 20);
    rollBack();
    assertThat(shown("n", SECOND).life().startedMillis()).isEqualTo(9);
    assertThat(shown("n", MUCH_LATER).life().startedMillis()).isEqualTo(9);
    list(node("n", 9), 23);
    assertThat(shown("n", SECOND).life().startedMillis()).isEqualTo(9);
  }

  /**
   * Guards against showing a former incarnation after a rollback that is followed by a store
   * outage: the leader took the restarted node's former incarnation for a new one and moved a
   * member of a serving group.
   */
  @Test
  void retentionDoesNotExpireDuringAStoreOutage() {
    addKnown(node("n", 9));
    list(node("n", 7), 20);
    list(node("gone", 7), 21);
    rollBack("gone");
    long lastAnswer = SECOND;
    assertThat(shown("n", lastAnswer).life().startedMillis()).isEqualTo(9);
    assertThat(shown("gone", lastAnswer)).isNull();
  }

  @Test
  void aLaterListedIncarnationTakesPrecedence() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 9), 20);
    rollBack();
    assertThat(shown("n", 0)).isEqualTo(node("n", 9));
  }

  @Test
  void membershipsAreTakenFromTheCopy() {
    addKnown(inGroup(node("n", 7), "new", MemberState.OPEN));
    list(node("n", 7), 20);
    rollBack();
    assertThat(shown("n", SECOND)).isEqualTo(node("n", 7));
    assertThat(restored.changesWithTime()).isFalse();
  }

  @Test
  void nothingIsRetainedForUnchangedNodes() {
    addKnown(node("n", 7));
    list(node("n", 7), 20);
    rollBack();
    assertThat(restored.changesWithTime()).isFalse();
  }

  @Test
  void onlyHiddenEntriesChangeWithTime() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 7), 20);
    rollBack();
    assertThat(restored.changesWithTime()).isFalse();
    list(node("m", 7), 21);
    rollBack("m");
    assertThat(restored.changesWithTime()).isTrue();
  }
}
