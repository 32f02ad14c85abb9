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
import org.fawnvale.serving.core.model.NodeLife;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePlace;
import org.junit.jupiter.api.Test;

/** What was known of nodes before the store went back, until they write again. */
class RestoredNodesTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long MUCH_LATER = 600 * SECOND;

  private final RestoredNodes restored = new RestoredNodes();
  private final Map<String, Node> known = new LinkedHashMap<>();
  private final Map<String, Node> listed = new LinkedHashMap<>();
  private final Map<String, StorePlace> places = new LinkedHashMap<>();

  private static Node node(String id, long started) {
    return new Node(
        new NodeLife(id, started),
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
    places.put(node.id(), new StorePlace(new StoreEra(2), revision));
  }

  private void addKnown(Node node) {
    known.put(node.id(), node);
  }

  private void rollBack(String... gone) {
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
    addKnown(node("n", 7).asDraining());
    list(node("n", 7), 20);
    rollBack();
    assertThat(shown("n", 0).draining()).isTrue();
    assertThat(shown("n", MUCH_LATER).draining()).isTrue();
    list(node("n", 7), 21);
    assertThat(shown("n", MUCH_LATER).draining()).isFalse();
  }

  @Test
  void itLeavesAlsoWhenTheStoreGoesBackTwiceInARow() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 7), 20);
    rollBack();
    addKnown(node("n", 7));
    rollBack();
    assertThat(shown("n", MUCH_LATER).draining()).isTrue();
  }

  @Test
  void aNodeThatTheCopyShowsAsLeavingLeavesWhateverWasKnown() {
    addKnown(node("n", 7));
    list(node("n", 7).asDraining(), 20);
    rollBack();
    assertThat(shown("n", 0).draining()).isTrue();
  }

  @Test
  void aNodeWhoseEntryHadGoneIsNotThereUntilDeadOnesHaveLapsed() {
    list(node("n", 7), 20);
    rollBack("n");
    assertThat(shown("n", 0)).isNull();
    assertThat(shown("n", 4 * SECOND)).isNull();
    assertThat(shown("n", 6 * SECOND)).isNotNull();
  }

  @Test
  void aNodeWhoseEntryHadGoneIsThereAsSoonAsItWritesAgain() {
    list(node("n", 7), 20);
    rollBack("n");
    assertThat(shown("n", 0)).isNull();
    list(node("n", 7), 22);
    assertThat(shown("n", SECOND)).isNotNull();
  }

  @Test
  void aNodeThatHadBegunALaterLifeIsNotTakenForTheFormerOne() {
    addKnown(node("n", 9));
    list(node("n", 7), 20);
    rollBack();
    assertThat(shown("n", SECOND).life().startedMillis()).isEqualTo(9);
    assertThat(shown("n", MUCH_LATER).life().startedMillis()).isEqualTo(9);
    list(node("n", 9), 23);
    assertThat(shown("n", SECOND).life().startedMillis()).isEqualTo(9);
  }

  /**
   * The story: a node had started again, the store went back and showed its former life, and then
   * was away for longer than entries of the dead take to lapse. The leader took the former life for
   * a new one, asked its address, where nothing listened any more, held the group's head to have
   * ended, and took a node from a group whose head served.
   */
  @Test
  void noTimePassesWhileTheStoreIsAwayAgain() {
    addKnown(node("n", 9));
    list(node("n", 7), 20);
    list(node("gone", 7), 21);
    rollBack("gone");
    long lastAnswer = SECOND;
    assertThat(shown("n", lastAnswer).life().startedMillis()).isEqualTo(9);
    assertThat(shown("gone", lastAnswer)).isNull();
  }

  @Test
  void aLaterLifeThatIsListedHolds() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 9), 20);
    rollBack();
    assertThat(shown("n", 0)).isEqualTo(node("n", 9));
  }

  @Test
  void aPlaceInAGroupIsTakenAsTheCopyShowsIt() {
    addKnown(inGroup(node("n", 7), "new", MemberState.OPEN));
    list(node("n", 7), 20);
    rollBack();
    assertThat(shown("n", SECOND)).isEqualTo(node("n", 7));
    assertThat(restored.changesWithTime()).isFalse();
  }

  @Test
  void nothingIsHeldOfNodesThatAreListedAsTheyWere() {
    addKnown(node("n", 7));
    list(node("n", 7), 20);
    rollBack();
    assertThat(restored.changesWithTime()).isFalse();
  }

  @Test
  void whatIsHeldChangesWithTimeOnlyWhereAnEntryHadGone() {
    addKnown(node("n", 7).asDraining());
    list(node("n", 7), 20);
    rollBack();
    assertThat(restored.changesWithTime()).isFalse();
    list(node("m", 7), 21);
    rollBack("m");
    assertThat(restored.changesWithTime()).isTrue();
  }
}
