package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Recipients of the messages of a daemon in the data centre north, in small and large fleets. */
class MessageRoutingTest {

  private static final MessageRouting.SendContext REGULAR =
      new MessageRouting.SendContext(2, false, "south-05", false);
  private static final MessageRouting.SendContext NEXT =
      new MessageRouting.SendContext(3, false, "south-05", false);
  private static final MessageRouting.SendContext URGENT =
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
  void smallFleetSendsToAll() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    assertThat(routing.targets(others(3, "north-01"), REGULAR)).hasSize(8);
  }

  @Test
  void largeFleetSendsRegularMessagesWithinDataCentre() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    assertThat(routing.targets(others(10, "north-01"), REGULAR))
        .hasSize(9)
        .allMatch(address -> address.startsWith("at-north"));
  }

  @Test
  void largeFleetSendsEverySecondMessageToRelayOnly() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    assertThat(routing.targets(others(10, "north-01"), NEXT)).containsExactly("at-north-00");
  }

  @Test
  void relayAndLeaderSendEveryMessageToDataCentre() {
    MessageRouting relay = new MessageRouting("north-00", "north");
    assertThat(relay.targets(others(10, "north-00"), NEXT)).hasSize(11);
    MessageRouting leader = new MessageRouting("north-07", "north");
    MessageRouting.SendContext context = new MessageRouting.SendContext(3, true, "north-07", false);
    assertThat(leader.targets(others(10, "north-07"), context)).hasSize(11);
  }

  @Test
  void relaySendsToRemoteRelays() {
    MessageRouting routing = new MessageRouting("north-00", "north");
    assertThat(routing.isRelay(others(10, "north-00"))).isTrue();
    assertThat(routing.targets(others(10, "north-00"), REGULAR))
        .hasSize(11)
        .contains("at-south-00", "at-west-00");
  }

  @Test
  void urgentMessageGoesToRelaysAndLeader() {
    MessageRouting routing = new MessageRouting("north-07", "north");
    assertThat(routing.targets(others(10, "north-07"), URGENT))
        .hasSize(12)
        .contains("at-south-00", "at-west-00", "at-south-05");
  }

  @Test
  void leaderSendsUrgentMessageToAll() {
    MessageRouting routing = new MessageRouting("north-07", "north");
    MessageRouting.SendContext urgent = new MessageRouting.SendContext(1, true, "north-07", true);
    assertThat(routing.targets(others(10, "north-07"), urgent)).hasSize(29);
  }

  @Test
  void nextDaemonBecomesRelay() {
    MessageRouting routing = new MessageRouting("north-01", "north");
    List<MessageRouting.Peer> others = others(10, "north-01");
    assertThat(routing.isRelay(others)).isFalse();
    others.removeIf(peer -> "north-00".equals(peer.name()));
    assertThat(routing.isRelay(others)).isTrue();
  }

  /**
   * Datagrams for two messages of each of 60 daemons. If local messages always went to the whole
   * data centre, there would be 2,292.
   */
  @Test
  void sixtyDaemonsSendFewerDatagrams() {
    int datagrams = 0;
    for (MessageRouting.SendContext context : List.of(REGULAR, NEXT)) {
      for (String dataCentre : List.of("north", "south", "west")) {
        for (int index = 0; index < 20; index++) {
          String name = dataCentre + String.format("-%02d", index);
          MessageRouting routing = new MessageRouting(name, dataCentre);
          datagrams += routing.targets(others(20, name), context).size();
        }
      }
    }
    assertThat(datagrams).isEqualTo(1_266);
  }
}
