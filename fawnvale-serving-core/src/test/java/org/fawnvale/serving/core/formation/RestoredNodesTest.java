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

/** What was known of nodes before the store went back, until they write again. */
class RestoredNodesTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long LONG_AFTER = 600 * SECOND;

  private final RestoredNodes restored = new RestoredNodes();
  private final Map<String, Node> known = new LinkedHashMap<>();
  private final Map<String, Node> listed = new LinkedHashMap<>();
  private final Map<String, StorePosition> places = new LinkedHashMap<>();

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
    places.put(node.id(), new StorePosition(new StoreEra(2), revision));
  }

  private void know(Node node) {
    known.put(node.id(), node);
  }

  private void goBack(String... gone) {
    restored.storeRolledBack(known, Set.of(gone), listed, places, 0);
  }

  private Node shown(String id, long atNanos) {
    return restored.complete(listed, places, atNanos).stream()
        .filter(node -> node.id().equals(id))
        .findAny()
        .orElse(null);
  }

  @Test
  void aNodeThatHadSaidItLeavesLeavesUntilItsEntryIsWrittenAnew() {
    know(node("n", 7).asDraining());
    list(node("n", 7), 20);
    goBack();
    assertThat(shown("n", 0).draining()).isTrue();
    assertThat(shown("n", LONG_AFTER).draining()).isTrue();
    list(node("n", 7), 21);
    assertThat(shown("n", LONG_AFTER).draining()).isFalse();
  }

  @Test
  void itLeavesAlsoWhenTheStoreGoesBackTwiceInARow() {
    know(node("n", 7).asDraining());
    list(node("n", 7), 20);
    goBack();
    know(node("n", 7));
    goBack();
    assertThat(shown("n", LONG_AFTER).draining()).isTrue();
  }

  @Test
  void aNodeThatTheCopyShowsAsLeavingLeavesWhateverWasKnown() {
    know(node("n", 7));
    list(node("n", 7).asDraining(), 20);
    goBack();
    assertThat(shown("n", 0).draining()).isTrue();
  }

  @Test
  void aNodeWhoseEntryHadGoneIsNotThereUntilDeadOnesHaveLapsed() {
    list(node("n", 7), 20);
    goBack("n");
    assertThat(shown("n", 0)).isNull();
    assertThat(shown("n", 4 * SECOND)).isNull();
    assertThat(shown("n", 6 * SECOND)).isNotNull();
  }

  @Test
  void aNodeWhoseEntryHadGoneIsThereAsSoonAsItWritesAgain() {
    list(node("n", 7), 20);
    goBack("n");
    assertThat(shown("n", 0)).isNull();
    list(node("n", 7), 22);
    assertThat(shown("n", SECOND)).isNotNull();
  }

  @Test
  void aNodeThatHadBegunALaterLifeIsNotTakenForTheFormerOne() {
    know(node("n", 9));
    list(node("n", 7), 20);
    goBack();
    assertThat(shown("n", SECOND).incarnation().startedMillis()).isEqualTo(9);
    assertThat(shown("n", LONG_AFTER).incarnation().startedMillis()).isEqualTo(9);
    list(node("n", 9), 23);
    assertThat(shown("n", SECOND).incarnation().startedMillis()).isEqualTo(9);
  }

  /**
   * The story: a node had started again, the store went back and showed its former life, and then
   * was away for longer than entries of the dead take to lapse. The leader took the former life for
   * a new one, asked its address, where nothing listened any more, held the group's head to have
   * ended, and took a node from a group whose head served.
   */
  @Test
  void noTimePassesWhileTheStoreIsAwayAgain() {
    know(node("n", 9));
    list(node("n", 7), 20);
    list(node("gone", 7), 21);
    goBack("gone");
    long lastAnswer = SECOND;
    assertThat(shown("n", lastAnswer).incarnation().startedMillis()).isEqualTo(9);
    assertThat(shown("gone", lastAnswer)).isNull();
  }

  @Test
  void aLaterLifeThatIsListedHolds() {
    know(node("n", 7).asDraining());
    list(node("n", 9), 20);
    goBack();
    assertThat(shown("n", 0)).isEqualTo(node("n", 9));
  }

  @Test
  void aPlaceInAGroupIsTakenAsTheCopyShowsIt() {
    know(inGroup(node("n", 7), "new", MemberState.OPEN));
    list(node("n", 7), 20);
    goBack();
    assertThat(shown("n", SECOND)).isEqualTo(node("n", 7));
    assertThat(restored.changesWithTime()).isFalse();
  }

  @Test
  void nothingIsHeldOfNodesThatAreListedAsTheyWere() {
    know(node("n", 7));
    list(node("n", 7), 20);
    goBack();
    assertThat(restored.changesWithTime()).isFalse();
  }

  @Test
  void whatIsHeldChangesWithTimeOnlyWhereAnEntryHadGone() {
    know(node("n", 7).asDraining());
    list(node("n", 7), 20);
    goBack();
    assertThat(restored.changesWithTime()).isFalse();
    list(node("m", 7), 21);
    goBack("m");
    assertThat(restored.changesWithTime()).isTrue();
  }
}
