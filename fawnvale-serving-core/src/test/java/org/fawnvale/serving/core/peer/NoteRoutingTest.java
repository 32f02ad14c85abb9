package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is sent a note of a daemon of the north, in small and large fleets. */
class NoteRoutingTest {

  private static final NoteRouting.Occasion USUAL =
      new NoteRouting.Occasion(2, false, "south-05", false);
  private static final NoteRouting.Occasion NEXT =
      new NoteRouting.Occasion(3, false, "south-05", false);
  private static final NoteRouting.Occasion NEWS =
      new NoteRouting.Occasion(1, false, "south-05", true);

  private static List<NoteRouting.Peer> others(int each, String self) {
    List<NoteRouting.Peer> others = new ArrayList<>();
    for (String dataCentre : List.of("north", "south", "west")) {
      for (int index = 0; index < each; index++) {
        String name = dataCentre + String.format("-%02d", index);
        if (!name.equals(self)) {
          others.add(new NoteRouting.Peer(name, "at-" + name, dataCentre));
        }
      }
    }
    return others;
  }

  @Test
  void inASmallFleetAllAreTold() {
    NoteRouting routing = new NoteRouting("north-01", "north");
    assertThat(routing.targets(others(3, "north-01"), USUAL)).hasSize(8);
  }

  @Test
  void inALargeFleetUsualNotesStayInTheDataCentre() {
    NoteRouting routing = new NoteRouting("north-01", "north");
    assertThat(routing.targets(others(10, "north-01"), USUAL))
        .hasSize(9)
        .allMatch(address -> address.startsWith("at-north"));
  }

  @Test
  void inALargeFleetEveryOtherNoteGoesToTheRelayAlone() {
    NoteRouting routing = new NoteRouting("north-01", "north");
    assertThat(routing.targets(others(10, "north-01"), NEXT)).containsExactly("at-north-00");
  }

  @Test
  void theRelayAndTheLeaderTellTheirDataCentreEachNote() {
    NoteRouting relay = new NoteRouting("north-00", "north");
    assertThat(relay.targets(others(10, "north-00"), NEXT)).hasSize(11);
    NoteRouting leader = new NoteRouting("north-07", "north");
    NoteRouting.Occasion leads = new NoteRouting.Occasion(3, true, "north-07", false);
    assertThat(leader.targets(others(10, "north-07"), leads)).hasSize(11);
  }

  @Test
  void theRelayTellsTheRelaysOfTheOtherDataCentres() {
    NoteRouting routing = new NoteRouting("north-00", "north");
    assertThat(routing.isRelay(others(10, "north-00"))).isTrue();
    assertThat(routing.targets(others(10, "north-00"), USUAL))
        .hasSize(11)
        .contains("at-south-00", "at-west-00");
  }

  @Test
  void newsGoesToTheRelaysAndToTheLeader() {
    NoteRouting routing = new NoteRouting("north-07", "north");
    assertThat(routing.targets(others(10, "north-07"), NEWS))
        .hasSize(12)
        .contains("at-south-00", "at-west-00", "at-south-05");
  }

  @Test
  void theLeaderTellsItsNewsToAll() {
    NoteRouting routing = new NoteRouting("north-07", "north");
    NoteRouting.Occasion news = new NoteRouting.Occasion(1, true, "north-07", true);
    assertThat(routing.targets(others(10, "north-07"), news)).hasSize(29);
  }

  @Test
  void theNextDaemonRelaysWhenTheFirstIsGone() {
    NoteRouting routing = new NoteRouting("north-01", "north");
    List<NoteRouting.Peer> others = others(10, "north-01");
    assertThat(routing.isRelay(others)).isFalse();
    others.removeIf(peer -> "north-00".equals(peer.name()));
    assertThat(routing.isRelay(others)).isTrue();
  }

  /** Datagrams for two notes of each of 60 daemons: 2,292 before near notes were spaced. */
  @Test
  void sixtyDaemonsSendLittleMoreThanHalfTheNotes() {
    int datagrams = 0;
    for (NoteRouting.Occasion occasion : List.of(USUAL, NEXT)) {
      for (String dataCentre : List.of("north", "south", "west")) {
        for (int index = 0; index < 20; index++) {
          String name = dataCentre + String.format("-%02d", index);
          NoteRouting routing = new NoteRouting(name, dataCentre);
          datagrams += routing.targets(others(20, name), occasion).size();
        }
      }
    }
    assertThat(datagrams).isEqualTo(1_266);
  }
}
