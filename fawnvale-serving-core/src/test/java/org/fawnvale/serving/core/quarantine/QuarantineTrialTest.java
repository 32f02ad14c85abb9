package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A harmless request is barred, and its callers ask daemons that don't lead.
 *
 * <p>The story: many callers ask for the same; three nodes end for another request's sake while
 * they run it. It is refused everywhere. A minute later it may be tried once more, at the leader
 * alone. Callers whose daemons don't lead, as all those of a data centre may, are refused for ever:
 * each time they ask the record is kept for another half hour.
 *
 * <p>The cause: who may try was decided where it is easy to count, at the leader, and not where
 * callers are. The evidence: asked for each second at any other daemon it stayed barred for as long
 * as it was asked for.
 */
class QuarantineTrialTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Fingerprint SHEET = new Fingerprint(1);
  private static final int DAEMONS = 9;
  private static final int[] ALL = {0, 1, 2, 3, 4, 5, 6, 7, 8};

  private final List<Quarantine> daemons = new ArrayList<>();
  private final List<RendezvousOwners> views = new ArrayList<>();

  @BeforeEach
  void bar() {
    daemons.clear();
    views.clear();
    for (int number = 0; number < DAEMONS; number++) {
      Quarantine quarantine = new Quarantine();
      quarantine.allowTrials(false);
      daemons.add(quarantine);
    }
    inTouch(0, DAEMONS);
    for (int end = 1; end <= Quarantine.MAX_FAILURES; end++) {
      daemons.get(end).recordFailure(SHEET, NodeIncarnation.only("n" + end), 0);
      tellAll(daemons.get(end), 0);
    }
  }

  /** Some daemons hear each other and nobody else. */
  private void inTouch(int from, int until) {
    for (int number = from; number < until; number++) {
      List<RendezvousOwners.Daemon> others = new ArrayList<>();
      for (int other = from; other < until; other++) {
        if (other != number) {
          others.add(named(other));
        }
      }
      RendezvousOwners view = new RendezvousOwners(named(number));
      view.updateReachable(others, DAEMONS, 0);
      views.add(view);
    }
  }

  private static RendezvousOwners.Daemon named(int number) {
    return new RendezvousOwners.Daemon("d" + number, "10.0.0." + number, "dc" + number / 3);
  }

  private void tellAll(Quarantine from, long nowNanos) {
    List<QuarantineRecord> told = from.recordsToSend(true, nowNanos);
    daemons.stream()
        .filter(other -> other != from)
        .forEach(other -> other.mergeFromPeer(told, nowNanos));
  }

  /** One caller asks each second, at any one daemon. */
  @Test
  void itIsTriedWhereverItsCallersAsk() {
    for (int number = 0; number < DAEMONS; number++) {
      assertThat(trialsUntil(120 * SECOND, number)).as("daemon %d", number).isPositive();
      bar();
    }
  }

  /** The three daemons of a data centre that is cut off hear each other only. */
  @Test
  void itIsTriedInADataCentreThatIsCutOff() {
    views.clear();
    inTouch(0, 3);
    inTouch(3, DAEMONS);
    assertThat(trialsUntil(120 * SECOND, 0, 1, 2)).isEqualTo(1);
    assertThat(trialsUntil(120 * SECOND, 3, 4, 5, 6, 7, 8)).isEqualTo(1);
  }

  /** Callers ask everywhere; the trial ends a node, and that is the last one. */
  @Test
  void aGuiltyOneEndsOneNodeMore() {
    assertThat(trialsUntil(120 * SECOND, ALL)).isEqualTo(1);
    daemons.get(5).recordFailure(SHEET, NodeIncarnation.only("n4"), 61 * SECOND);
    tellAll(daemons.get(5), 61 * SECOND);
    for (Quarantine daemon : daemons) {
      assertThat(daemon.mayRequestTrial(SHEET, 900 * SECOND)).isFalse();
      assertThat(daemon.grantTrial(SHEET, 900 * SECOND)).isFalse();
      assertThat(daemon.isQuarantined(SHEET, 900 * SECOND)).isTrue();
    }
  }

  /** The daemon that has leave ends before it sends: leave is given again, three times in all. */
  @Test
  void leaveThatIsLostIsGivenAgainButNotForEver() {
    Quarantine owner = daemons.get(0);
    int given = 0;
    for (long now = SECOND; now < 900 * SECOND; now += SECOND) {
      given += owner.grantTrial(SHEET, now) ? 1 : 0;
    }
    assertThat(given).isEqualTo(3);
  }

  /** Asks each second at each of some daemons, and counts how often it is sent. */
  private int trialsUntil(long untilNanos, int... asked) {
    int trials = 0;
    for (long now = SECOND; now < untilNanos; now += SECOND) {
      for (int number : asked) {
        Quarantine daemon = daemons.get(number);
        askForLeave(number, now);
        if (!daemon.isQuarantined(SHEET, now)) {
          daemon.recordSent(SHEET);
          trials++;
        }
      }
    }
    return trials;
  }

  private void askForLeave(int number, long now) {
    Quarantine daemon = daemons.get(number);
    if (!daemon.mayRequestTrial(SHEET, now)) {
      return;
    }
    String owner = views.get(number).ownerOf("sheet", "").name();
    if (daemons.get(Integer.parseInt(owner.substring(1))).grantTrial(SHEET, now)) {
      daemon.acceptTrial(SHEET);
    }
  }
}
