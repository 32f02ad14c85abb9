package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.watch.StoreSuspicion;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leadership that passes from daemon to daemon in a data centre without access to
 * the store. Most daemons don't call the store unless they lead, and notice only then that it
 * fails.
 */
class PartitionedDataCentreTest {

  private static final long MILLI = 1_000_000L;
  private static final int DAEMONS = 27;
  private static final long TICK_MILLIS = 50;
  private static final long CALM_MILLIS = 2_000;
  private static final long PARTITION_MILLIS = 5_400;

  /** Timeout of a call to the store. */
  private static final long CALL_MILLIS = 250;

  /** How long a failed call counts against a daemon that makes no further calls. */
  private static final long TRUST_MILLIS = 3_000;

  private final List<Daemon> daemons = new ArrayList<>();
  private final Set<String> leaders = new HashSet<>();
  private long now;
  private boolean isPartitioned;

  private static final class Daemon {
    final String name;
    final LeaderElection election;
    final StoreSuspicion suspicion = new StoreSuspicion();
    long callStartedNanos = -1;
    long failedNanos = Long.MIN_VALUE / 2;
    LeaderEligibility eligibility = LeaderEligibility.ELIGIBLE;

    Daemon(int number) {
      name = String.format("d%02d", number);
      election = new LeaderElection(name, "cut");
    }

    /** A call fails after the timeout. */
    void call(boolean calls, long now) {
      callStartedNanos = !calls ? -1 : callStartedNanos < 0 ? now : callStartedNanos;
      if (callStartedNanos >= 0 && now - callStartedNanos >= CALL_MILLIS * MILLI) {
        failedNanos = now;
      }
    }

    boolean hasFailedRecently(long now) {
      return now - failedNanos < TRUST_MILLIS * MILLI;
    }
  }

  private void simulate(boolean useSuspicion) {
    for (int number = 0; number < DAEMONS; number++) {
      daemons.add(new Daemon(number));
    }
    run(CALM_MILLIS, useSuspicion);
    leaders.clear();
    isPartitioned = true;
    run(PARTITION_MILLIS, useSuspicion);
  }

  private void run(long millis, boolean useSuspicion) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += TICK_MILLIS * MILLI;
      daemons.forEach(daemon -> step(daemon, useSuspicion));
      daemons.forEach(this::send);
    }
  }

  private void step(Daemon daemon, boolean useSuspicion) {
    boolean peerHasLost =
        daemon.election.live(now).values().stream().anyMatch(PeerMessage::reportsLostStore);
    daemon.suspicion.updatePeers(peerHasLost, now);
    boolean answers =
        !daemon.hasFailedRecently(now) && (!useSuspicion || daemon.suspicion.isCleared(-1));
    daemon.eligibility = answers ? LeaderEligibility.ELIGIBLE : LeaderEligibility.WITHOUT_STORE;
    boolean leads = daemon.election.decide(daemon.eligibility, now);
    daemon.call(leads && isPartitioned, now);
    if (leads) {
      leaders.add(daemon.name);
    }
  }

  private void send(Daemon from) {
    PeerMessage message = PeerMessages.of(from.name, "cut", from.election, from.eligibility, false);
    for (Daemon to : daemons) {
      if (to != from) {
        to.election.receive(message, now);
      }
    }
  }

  @Test
  void withoutSuspicionLeadershipPassesFromDaemonToDaemon() {
    simulate(false);
    assertThat(leaders).hasSizeGreaterThan(8);
  }

  @Test
  void withSuspicionLeadershipIsStableDuringPartition() {
    simulate(true);
    assertThat(leaders).hasSizeLessThanOrEqualTo(2);
  }
}
