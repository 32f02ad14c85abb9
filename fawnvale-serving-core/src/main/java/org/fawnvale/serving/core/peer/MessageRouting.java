package org.fawnvale.serving.core.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who is sent a daemon's note. In a small fleet every daemon is. In a larger one notes stay within
 * the data centre; across, only the relay of each data centre tells the relays of the others, and
 * gives its own daemons what it hears. So what crosses grows with the data centres, not with the
 * square of the daemons. Within the data centre every other note goes to the relay alone.
 */
public final class MessageRouting {

  /** Every how many notes the leader tells all daemons, beside those with news. */
  private static final int LEADER_SPACING = 4;

  /**
   * Every how many notes a daemon of a large fleet tells its whole data centre. Notes are most of
   * what a daemon does at rest: with 20 daemons a data centre it sent and heard 130 a second each;
   * now 60 daemons send 1,266 datagrams for two notes each instead of 2,292 (counted in a test).
   */
  private static final int LOCAL_SPACING = 2;

  private final String self;
  private final String dataCentre;

  /**
   * Creates the routing of one daemon.
   *
   * @param self its name
   * @param dataCentre its data centre
   */
  public MessageRouting(String self, String dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
  }

  /**
   * Another daemon.
   *
   * @param name its name
   * @param address its IP address
   * @param dataCentre its data centre
   */
  public record Peer(String name, String address, String dataCentre) {}

  /**
   * What a note is sent for.
   *
   * @param turn its number
   * @param leads whether its sender leads
   * @param leader the name of the leader
   * @param news whether it holds what the leader and the relays should know at once
   */
  public record SendContext(int sequence, boolean isLeader, String leader, boolean urgent) {}

  /**
   * Tells whether a fleet has relays.
   *
   * @param daemons daemons that are known, this one included
   * @return true when notes don't go to every daemon
   */
  public static boolean hasRelays(int daemons) {
    return MessageSpacing.remoteInterval(daemons) > 1;
  }

  /**
   * Tells whether this daemon relays for its data centre: the first by name of those that live.
   *
   * @param live the other daemons that are alive
   * @return true when none of its data centre comes before it
   */
  public boolean isRelay(Collection<Peer> live) {
    return live.stream()
        .filter(peer -> peer.dataCentre().equals(dataCentre))
        .allMatch(peer -> self.compareTo(peer.name()) < 0);
  }

  /**
   * The daemons that are sent a note.
   *
   * @param live the other daemons that are alive
   * @param occasion what it is sent for
   * @return their addresses
   */
  public Set<String> targets(Collection<Peer> live, SendContext occasion) {
    boolean direct = !hasRelays(live.size() + 1);
    boolean leaderToAll =
        occasion.isLeader() && (occasion.urgent() || occasion.sequence() % LEADER_SPACING == 0);
    boolean toRelays = isRelay(live) || occasion.isLeader() || occasion.urgent();
    boolean toAllNear = direct || toRelays || occasion.sequence() % LOCAL_SPACING == 0;
    Map<String, Peer> relays = new HashMap<>();
    Map<String, Peer> nearRelay = new HashMap<>();
    Set<String> targets = new HashSet<>();
    for (Peer peer : live) {
      boolean near = peer.dataCentre().equals(dataCentre);
      boolean leads = occasion.urgent() && peer.name().equals(occasion.leader());
      if (direct || near && toAllNear || leaderToAll || leads) {
        targets.add(peer.address());
      } else {
        (near ? nearRelay : relays).merge(peer.dataCentre(), peer, MessageRouting::firstByName);
      }
    }
    nearRelay.values().forEach(peer -> targets.add(peer.address()));
    if (toRelays) {
      relays.values().forEach(peer -> targets.add(peer.address()));
    }
    return targets;
  }

  private static Peer firstByName(Peer one, Peer other) {
    return one.name().compareTo(other.name()) < 0 ? one : other;
  }
}
