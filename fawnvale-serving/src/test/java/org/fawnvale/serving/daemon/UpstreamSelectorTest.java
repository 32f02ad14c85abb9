package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Selection of heads from the list of nodes and the leader's announcements. */
class UpstreamSelectorTest {

  private static final EngineSpec ENGINE =
      new EngineSpec(
          18,
          1_000,
          5,
          2_048,
          List.of(new ModelSpec("m", 2, 1.0, 1.0, 16_000, 1_600)),
          6.0,
          0.3,
          0.0,
          46_000,
          0.0,
          4.0,
          6,
          300,
          new RequestSize(1_000, 100));
  private static final Configuration CONFIGURATION =
      new Configuration(
          1, List.of(), Map.of("engines", new ServiceSpec("engines", 100, ENGINE)), null, 1, 1, 1);

  private final UpstreamSelector selector = new UpstreamSelector(true);

  private static Node member(String id, int rank, MemberState state) {
    return new Node(
        NodeIncarnation.only(id),
        "engines",
        new Endpoint("10.0.0.1", 1),
        "here",
        18,
        false,
        "domain",
        "m",
        List.of(),
        new Membership("g~head", 4, rank, state));
  }

  private static final Node HEAD = member("head", 0, MemberState.OPEN);
  private static final Node OTHER = member("other", 1, MemberState.READY);

  private List<String> selectedIds(GroupAnnouncements announced, Node... nodes) {
    return selector.select(List.of(nodes), CONFIGURATION, announced).stream()
        .map(Node::id)
        .toList();
  }

  @Test
  void selectsHeadOfCompleteOpenGroup() {
    assertThat(selectedIds(GroupAnnouncements.NONE, HEAD, OTHER)).containsExactly("head");
  }

  @Test
  void omitsGroupThatWasNeverComplete() {
    assertThat(selectedIds(GroupAnnouncements.NONE, HEAD)).isEmpty();
  }

  @Test
  void keepsGroupWhileAMemberEntryIsMissing() {
    selectedIds(GroupAnnouncements.NONE, HEAD, OTHER);
    assertThat(selectedIds(GroupAnnouncements.NONE, HEAD)).containsExactly("head");
  }

  @Test
  void keepsGroupWithDrainingMemberUntilTheLeaderClosesIt() {
    selectedIds(GroupAnnouncements.NONE, HEAD, OTHER);
    assertThat(selectedIds(GroupAnnouncements.NONE, HEAD, OTHER.asDraining()))
        .containsExactly("head");
    GroupAnnouncements closed = new GroupAnnouncements(List.of(), List.of("head@4"));
    assertThat(selectedIds(closed, HEAD, OTHER.asDraining())).isEmpty();
  }

  @Test
  void omitsDrainingHead() {
    selectedIds(GroupAnnouncements.NONE, HEAD, OTHER);
    assertThat(selectedIds(GroupAnnouncements.NONE, HEAD.asDraining(), OTHER)).isEmpty();
  }

  @Test
  void omitsGroupThatTheLeaderCloses() {
    GroupAnnouncements closed = new GroupAnnouncements(List.of(), List.of("head@4"));
    assertThat(selectedIds(closed, HEAD, OTHER)).isEmpty();
  }

  @Test
  void selectsAnnouncedGroupThatIsNotListedYet() {
    Node free = HEAD.withGroup(null, List.of(), null);
    GroupAnnouncements opened =
        new GroupAnnouncements(
            List.of(new PeerMessage.ServingGroup("head", "g~head", 5, "m")), List.of());
    assertThat(selectedIds(opened, free)).containsExactly("head");
  }
}
