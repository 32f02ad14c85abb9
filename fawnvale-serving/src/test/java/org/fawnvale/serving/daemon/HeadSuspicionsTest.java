package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against suspicions of heads that peers learn late or never. */
class HeadSuspicionsTest {

  private boolean doubtful;
  private final Dispatcher dispatcher =
      new Dispatcher(
          "a",
          new UpstreamGate(
              new SharedLimits(
                  new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))),
              Evacuations.disabled()),
          () -> 0);
  private final HeadSuspicions suspicions =
      new HeadSuspicions(
          "a",
          dispatcher,
          () -> false,
          List::of,
          new UpstreamPath() {
            @Override
            public boolean isDoubtful() {
              return doubtful;
            }

            @Override
            public boolean isLost() {
              return false;
            }

            @Override
            public boolean isHeardElsewhere() {
              return false;
            }
          });

  @BeforeEach
  void serveTwoHeads() {
    List<Node> heads = List.of(head("n0"), head("n1"));
    dispatcher.setUpstreams(heads);
    suspicions.update(heads, Set.of("n0", "n1"));
  }

  private static Node head(String id) {
    return new Node(
        NodeIncarnation.only(id),
        "s",
        new Endpoint("127.0.0.1", 1),
        "a",
        1,
        false,
        "domain",
        "m",
        List.of(),
        new Membership("g" + id, 1, 0, MemberState.OPEN));
  }

  private void suspect(String head) {
    dispatcher.state(head).markSuspect(1);
  }

  @Test
  void suspicionIsNewOnce() {
    suspect("n0");
    assertThat(suspicions.takeNew()).isTrue();
    assertThat(suspicions.takeNew()).isFalse();
    suspect("n1");
    assertThat(suspicions.takeNew()).isTrue();
  }

  /** A wave of crashes makes the path doubtful for a moment. */
  @Test
  void suspicionThatArisesWithADoubtAboutThePathIsNewAfterIt() {
    suspect("n0");
    suspect("n1");
    doubtful = true;
    assertThat(suspicions.takeNew()).isFalse();
    doubtful = false;
    assertThat(suspicions.takeNew()).isTrue();
  }

  @Test
  void suspicionThatMessagesLackedDuringADoubtIsNewAfterIt() {
    suspect("n0");
    suspicions.takeNew();
    doubtful = true;
    suspicions.takeNew();
    doubtful = false;
    assertThat(suspicions.takeNew()).isTrue();
  }
}
