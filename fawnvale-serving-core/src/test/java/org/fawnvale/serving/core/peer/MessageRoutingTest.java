package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is sent a note of a daemon of the north, in small and large fleets. */
class MessageRoutingTest {

  private static final MessageRouting.SendContext USUAL =
      new MessageRouting.SendContext(2, false, "south-05", false);
  private static final MessageRouting.SendContext NEXT =
      new MessageRouting.SendContext(3, false, "south-05", false);
  private static final MessageRouting.SendContext NEWS =
      new MessageRouting.SendContext(1, false, "south-05", true);

  private static List<MessageRouting.Peer> others(int each, String self) {
    List<MessageRouting.Peer> others = new ArrayList<>();
    for (String dataCentre : List.of("north", "south", "west")) {
      for (int index = 0; index < each; index++) {
        String name = dataCentre + String.format("-%02d", index);
        if (!name.equals(self)) {
          others.add(new MessageRouting.Peer(name, "at-" + name, dataCentre));
        }
      }
    }
    return others;
  }

  @Test
  void inASmallFleetAllAreTold() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    assertThat(routing.targets(others(3, "north-01"), USUAL)).hasSize(8);
  }

  @Test
  void inALargeFleetUsualNotesStayInTheDataCentre() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    assertThat(routing.targets(others(10, "north-01"), USUAL))
        .hasSize(9)
        .allMatch(address -> address.startsWith("at-north"));
  }

  @Test
  void inALargeFleetEveryOtherNoteGoesToTheRelayAlone() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    assertThat(routing.targets(others(10, "north-01"), NEXT)).containsExactly("at-north-00");
  }

  @Test
  void theRelayAndTheLeaderTellTheirDataCentreEachNote() {
    MessageRouting relay = new MessageRouting("north-00", "north");
    assertThat(relay.targets(others(10, "north-00"), NEXT)).hasSize(11);
    MessageRouting leader = new MessageRouting("north-07", "north");
    MessageRouting.SendContext leads = new MessageRouting.SendContext(3, true, "north-07", false);
    assertThat(leader.targets(others(10, "north-07"), leads)).hasSize(11);
  }

  @Test
  void theRelayTellsTheRelaysOfTheOtherDataCentres() {
    MessageRouting routing = new MessageRouting("north-00", "north");
    assertThat(routing.isRelay(others(10, "north-00"))).isTrue();
    assertThat(routing.targets(others(10, "north-00"), USUAL))
        .hasSize(11)
        .contains("at-south-00", "at-west-00");
  }

  @Test
  void newsGoesToTheRelaysAndToTheLeader() {
    MessageRouting routing = new MessageRouting("north-07", "north");
    assertThat(routing.targets(others(10, "north-07"), NEWS))
        .hasSize(12)
        .contains("at-south-00", "at-west-00", "at-south-05");
  }

  @Test
  void theLeaderTellsItsNewsToAll() {
    MessageRouting routing = new MessageRouting("north-07", "north");
    MessageRouting.SendContext news = new MessageRouting.SendContext(1, true, "north-07", true);
    assertThat(routing.targets(others(10, "north-07"), news)).hasSize(29);
  }

  @Test
  void theNextDaemonRelaysWhenTheFirstIsGone() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    List<MessageRouting.Peer> others = others(10, "north-01");
    assertThat(routing.isRelay(others)).isFalse();
    others.removeIf(peer -> "north-00".equals(peer.name()));
    assertThat(routing.isRelay(others)).isTrue();
  }

  /** Datagrams for two notes of each of 60 daemons: 2,292 before near notes were spaced. */
  @Test
  void sixtyDaemonsSendLittleMoreThanHalfTheNotes() {
    int datagrams = 0;
    for (MessageRouting.SendContext occasion : List.of(USUAL, NEXT)) {
      for (String dataCentre : List.of("north", "south", "west")) {
        for (int index = 0; index < 20; index++) {
          String name = dataCentre + String.format("-%02d", index);
          MessageRouting routing = new MessageRouting(name, dataCentre);
          datagrams += routing.targets(others(20, name), occasion).size();
        }
      }
    }
    assertThat(datagrams).isEqualTo(1_266);
  }
}
