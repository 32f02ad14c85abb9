package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against daemons that divide a bound of the fleet among too few daemons. */
class FleetMembersTest {

  private static final int DAEMONS = 7;
  private static final long START = TimeUnit.DAYS.toNanos(1);

  private static FleetMembers knownFleet() {
    FleetMembers members = new FleetMembers("d0", true);
    for (int daemon = 1; daemon < DAEMONS; daemon++) {
      members.heard("d" + daemon, START);
    }
    return members;
  }

  @Test
  void daemonThatStartsBehindACutDoesNotTakeItsSideForTheFleet() {
    FleetMembers started = new FleetMembers("d5", false);
    started.heard("d6", START);
    assertThat(started.count(START)).isZero();
  }

  @Test
  void daemonThatStartsBehindACutCountsAllWhomTheStoreLists() {
    FleetMembers started = new FleetMembers("d5", false);
    started.heard("d6", START);
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      started.heard("d" + daemon, START);
    }
    started.listed();
    assertThat(started.count(START)).isEqualTo(DAEMONS);
  }

  @Test
  void daemonThatStartsBehindACutCountsAllWhomAPeerTells() {
    FleetMembers peer = knownFleet();
    FleetMembers started = new FleetMembers("d5", false);
    started.heard("d0", START);
    for (int message = 0; message < DAEMONS; message++) {
      assertThat(started.count(START)).as("after %d messages", message).isIn(0, DAEMONS);
      peer.membersToTell(message, 1, START).forEach(member -> started.told(member, START));
      started.toldCount(peer.count(START));
    }
    assertThat(started.count(START)).isEqualTo(DAEMONS);
  }

  @Test
  void ownerThatStartsBehindACutUsesTheShareOfItsSideOfALimit() {
    FleetMembers started = new FleetMembers("d5", false);
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      started.heard("d" + daemon, START);
    }
    long later = START + TimeUnit.SECONDS.toNanos(30);
    started.heard("d6", later);
    RendezvousOwners.Daemon reachable = new RendezvousOwners.Daemon("d6", "127.0.0.6", "a");
    RendezvousOwners owners =
        new RendezvousOwners(new RendezvousOwners.Daemon("d5", "127.0.0.5", "a"));
    owners.updateReachable(
        List.of(reachable),
        started.countHeardWithin(LeaderElection.MEMBERSHIP_NANOS, later),
        later);
    assertThat(owners.share()).isEqualTo(2.0 / DAEMONS);
  }

  @Test
  void daemonThatDoesNotKnowTheFleetMakesNoPeerKnowIt() {
    FleetMembers ignorant = new FleetMembers("d6", false);
    FleetMembers started = new FleetMembers("d5", false);
    started.heard("d6", START);
    started.toldCount(ignorant.count(START));
    assertThat(started.count(START)).isZero();
  }

  @Test
  void daemonThatWasRemovedCountsForAnHourThoughPeersTellItAgain() {
    FleetMembers one = knownFleet();
    FleetMembers other = new FleetMembers("d1", true);
    long now = START;
    for (int minute = 0; minute < 59; minute++) {
      now = START + TimeUnit.MINUTES.toNanos(minute);
      for (int message = 0; message < DAEMONS; message++) {
        long at = now + TimeUnit.MILLISECONDS.toNanos(150L * message);
        one.membersToTell(message, 1, at).forEach(member -> other.told(member, at));
        other.membersToTell(message, 1, at).forEach(member -> one.told(member, at));
      }
      one.heard("d1", now);
      other.heard("d0", now);
      assertThat(other.count(now)).as("minute %d", minute).isEqualTo(DAEMONS);
    }
    long later = now + TimeUnit.MINUTES.toNanos(3);
    for (int message = 0; message < DAEMONS; message++) {
      other.membersToTell(message, 1, later).forEach(member -> one.told(member, later));
    }
    one.heard("d1", later);
    assertThat(one.count(later)).isEqualTo(2);
  }

  @Test
  void silenceGrowsThoughDaemonsTellItEachOtherAllTheTime() {
    FleetMembers one = new FleetMembers("d0", true);
    FleetMembers other = new FleetMembers("d1", true);
    one.heard("d2", START);
    long now = START;
    for (int message = 0; message < 100; message++) {
      now += TimeUnit.MILLISECONDS.toNanos(150);
      long at = now;
      one.membersToTell(0, 1, at).forEach(member -> other.told(member, at));
      other.membersToTell(0, 1, at).forEach(member -> one.told(member, at));
    }
    assertThat(other.membersToTell(0, 1, now).get(0).silentSeconds()).isGreaterThanOrEqualTo(15);
  }
}
