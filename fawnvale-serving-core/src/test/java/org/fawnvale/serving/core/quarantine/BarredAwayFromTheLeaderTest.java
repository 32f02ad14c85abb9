package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.NodeLife;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A harmless request is barred, and its callers ask daemons that don't lead.
 *
 * <p>The story: many callers ask for the same; three nodes end for another request's sake while
 * they run it. It is refused everywhere. A minute later it may be tried once more, at the leader
 * alone. Callers whose daemons don't lead, as all those of a data centre may, are refused for ever:
 * each time they ask the record is kept for another half hour.
 */
class BarredAwayFromTheLeaderTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Fingerprint SHEET = new Fingerprint(1);
  private static final int DAEMONS = 9;
  private static final int LEADER = 0;

  private final List<Quarantine> daemons = new ArrayList<>();

  @BeforeEach
  void bar() {
    for (int number = 0; number < DAEMONS; number++) {
      Quarantine quarantine = new Quarantine();
      quarantine.mayTry(number == LEADER);
      daemons.add(quarantine);
    }
    for (int end = 1; end <= Quarantine.MOST_ENDS; end++) {
      daemons.get(end).ended(SHEET, NodeLife.only("n" + end), 0);
      tellAll(daemons.get(end), 0);
    }
  }

  private void tellAll(Quarantine from, long nowNanos) {
    List<RequestRecord> told = from.toTell(true, nowNanos);
    daemons.stream().filter(other -> other != from).forEach(other -> other.hear(told, nowNanos));
  }

  /** One caller asks each second, at a daemon that does not lead. */
  @Test
  void itIsTriedWhereverItsCallersAsk() {
    for (int number = 1; number < DAEMONS; number++) {
      assertThat(isTriedBy(daemons.get(number), 120 * SECOND)).as("daemon %d", number).isTrue();
      daemons.clear();
      bar();
    }
  }

  private static boolean isTriedBy(Quarantine daemon, long untilNanos) {
    for (long now = SECOND; now < untilNanos; now += SECOND) {
      if (!daemon.isBarred(SHEET, now)) {
        return true;
      }
    }
    return false;
  }
}
