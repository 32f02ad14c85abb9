package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.watch.StoreSuspicion;
import org.junit.jupiter.api.Test;

/**
 * A data centre of 27 daemons is cut off from the store and from the leader. Most daemons rest:
 * they call the store only when they lead, and find out then that it gives no answer.
 */
class PartitionedDataCentreTest {

  private static final long MILLI = 1_000_000L;
  private static final int DAEMONS = 27;
  private static final long TICK_MILLIS = 50;
  private static final long CALM_MILLIS = 2_000;
  private static final long CUT_MILLIS = 5_400;

  /** A call that gets no answer is over after this time. */
  private static final long CALL_MILLIS = 250;

  /** A failed call speaks against a daemon that rests for this time. */
  private static final long TRUST_MILLIS = 3_000;

  private final List<Daemon> daemons = new ArrayList<>();
  private final Set<String> leaders = new HashSet<>();
  private long now;
  private boolean isCut;

  private static final class Daemon {
    final String name;
    final LeaderElection leadership;
    final StoreSuspicion doubt = new StoreSuspicion();
    long callBegun = -1;
    long failedAt = Long.MIN_VALUE / 2;
    LeaderEligibility standing = LeaderEligibility.ELIGIBLE;

    Daemon(int number) {
      name = String.format("d%02d", number);
      leadership = new LeaderElection(name, "cut");
    }

    /** A call that was begun fails after a while. */
    void call(boolean calls, long now) {
      callBegun = !calls ? -1 : callBegun < 0 ? now : callBegun;
      if (callBegun >= 0 && now - callBegun >= CALL_MILLIS * MILLI) {
        failedAt = now;
      }
    }

    boolean failedLately(long now) {
      return now - failedAt < TRUST_MILLIS * MILLI;
    }
  }

  private void play(boolean doubts) {
    for (int number = 0; number < DAEMONS; number++) {
      daemons.add(new Daemon(number));
    }
    run(CALM_MILLIS, doubts);
    leaders.clear();
    isCut = true;
    run(CUT_MILLIS, doubts);
  }

  private void run(long millis, boolean doubts) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += TICK_MILLIS * MILLI;
      daemons.forEach(daemon -> step(daemon, doubts));
      daemons.forEach(this::tell);
    }
  }

  private void step(Daemon daemon, boolean doubts) {
    boolean peerHasLost =
        daemon.leadership.live(now).values().stream()
            .anyMatch(note -> note.eligibility() == LeaderEligibility.WITHOUT_STORE);
    daemon.doubt.updatePeers(peerHasLost, now);
    boolean answers = !daemon.failedLately(now) && (!doubts || daemon.doubt.isCleared(-1));
    daemon.standing = answers ? LeaderEligibility.ELIGIBLE : LeaderEligibility.WITHOUT_STORE;
    boolean leads = daemon.leadership.decide(daemon.standing, now);
    daemon.call(leads && isCut, now);
    if (leads) {
      leaders.add(daemon.name);
    }
  }

  private void tell(Daemon from) {
    PeerMessage note =
        new PeerMessage(
            from.name,
            from.name,
            "cut",
            1,
            from.leadership.term(),
            from.leadership.leader(),
            from.leadership.highestClaim(),
            from.standing,
            true,
            Map.of(),
            Map.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of());
    for (Daemon to : daemons) {
      if (to != from) {
        to.leadership.receive(note, now);
      }
    }
  }

  @Test
  void withoutDoubtTheLeadGoesFromDaemonToDaemon() {
    play(false);
    assertThat(leaders).hasSizeGreaterThan(8);
  }

  @Test
  void withDoubtOneDaemonLeadsThroughTheCut() {
    play(true);
    assertThat(leaders).hasSizeLessThanOrEqualTo(2);
  }
}
