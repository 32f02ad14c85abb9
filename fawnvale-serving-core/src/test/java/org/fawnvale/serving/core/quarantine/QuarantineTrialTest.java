package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a harmless request that stays quarantined for ever because its callers use daemons
 * that don't lead.
 */
class QuarantineTrialTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Fingerprint REQUEST = new Fingerprint(1);
  private static final int DAEMONS = 9;
  private static final int[] ALL = {0, 1, 2, 3, 4, 5, 6, 7, 8};

  private final List<Quarantine> daemons = new ArrayList<>();
  private final List<RendezvousOwners> ownersByDaemon = new ArrayList<>();

  @BeforeEach
  void quarantineRequest() {
    daemons.clear();
    ownersByDaemon.clear();
    for (int number = 0; number < DAEMONS; number++) {
      Quarantine quarantine = new Quarantine();
      quarantine.allowTrials(false);
      daemons.add(quarantine);
    }
    addViews(0, DAEMONS);
    for (int end = 1; end <= Quarantine.MAX_FAILURES; end++) {
      daemons.get(end).recordFailure(REQUEST, NodeIncarnation.only("n" + end), 0);
      sendToAll(daemons.get(end), 0);
    }
  }

  /** Creates the views of daemons that reach only each other. */
  private void addViews(int from, int until) {
    for (int number = from; number < until; number++) {
      List<RendezvousOwners.Daemon> others = new ArrayList<>();
      for (int other = from; other < until; other++) {
        if (other != number) {
          others.add(daemon(other));
        }
      }
      RendezvousOwners owners = new RendezvousOwners(daemon(number));
      owners.updateReachable(others, DAEMONS, 0);
      ownersByDaemon.add(owners);
    }
  }

  private static RendezvousOwners.Daemon daemon(int number) {
    return new RendezvousOwners.Daemon("d" + number, "10.0.0." + number, "dc" + number / 3);
  }

  private void sendToAll(Quarantine from, long nowNanos) {
    List<QuarantineRecord> records = from.recordsToSend(true, nowNanos);
    daemons.stream()
        .filter(other -> other != from)
        .forEach(other -> other.mergeFromPeer(records, nowNanos));
  }

  /** One caller repeats the request each second at one daemon. */
  @Test
  void trialStartsAtAnyDaemon() {
    for (int number = 0; number < DAEMONS; number++) {
      assertThat(trialsUntil(120 * SECOND, number)).as("daemon %d", number).isPositive();
      quarantineRequest();
    }
  }

  /** The three daemons of a partitioned data centre reach only each other. */
  @Test
  void trialStartsInPartitionedDataCentre() {
    ownersByDaemon.clear();
    addViews(0, 3);
    addViews(3, DAEMONS);
    assertThat(trialsUntil(120 * SECOND, 0, 1, 2)).isEqualTo(1);
    assertThat(trialsUntil(120 * SECOND, 3, 4, 5, 6, 7, 8)).isEqualTo(1);
  }

  /** Callers use all daemons; the trial fails. */
  @Test
  void failedTrialIsTheLastOne() {
    assertThat(trialsUntil(120 * SECOND, ALL)).isEqualTo(1);
    daemons.get(5).recordFailure(REQUEST, NodeIncarnation.only("n4"), 61 * SECOND);
    sendToAll(daemons.get(5), 61 * SECOND);
    for (Quarantine daemon : daemons) {
      assertThat(daemon.mayRequestTrial(REQUEST, 900 * SECOND)).isFalse();
      assertThat(daemon.grantTrial(REQUEST, 900 * SECOND)).isFalse();
      assertThat(daemon.isQuarantined(REQUEST, 900 * SECOND)).isTrue();
    }
  }

  /** A daemon that was granted a trial may die before it sends the request. */
  @Test
  void lostTrialIsGrantedAgainThreeTimesInTotal() {
    Quarantine owner = daemons.get(0);
    int granted = 0;
    for (long now = SECOND; now < 900 * SECOND; now += SECOND) {
      granted += owner.grantTrial(REQUEST, now) ? 1 : 0;
    }
    assertThat(granted).isEqualTo(3);
  }

  /** Repeats the request each second at some daemons and counts how often it is sent. */
  private int trialsUntil(long untilNanos, int... numbers) {
    int trials = 0;
    for (long now = SECOND; now < untilNanos; now += SECOND) {
      for (int number : numbers) {
        Quarantine daemon = daemons.get(number);
        requestTrial(number, now);
        if (!daemon.isQuarantined(REQUEST, now)) {
          daemon.recordSent(REQUEST);
          trials++;
        }
      }
    }
    return trials;
  }

  private void requestTrial(int number, long now) {
    Quarantine daemon = daemons.get(number);
    if (!daemon.mayRequestTrial(REQUEST, now)) {
      return;
    }
    String owner = ownersByDaemon.get(number).ownerOf("sheet", "").name();
    if (daemons.get(Integer.parseInt(owner.substring(1))).grantTrial(REQUEST, now)) {
      daemon.acceptTrial(REQUEST);
    }
  }
}
