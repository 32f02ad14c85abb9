package org.fawnvale.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What a daemon answers to others that ask it for leave. */
class PermitServicesTest {

  private static final RendezvousOwners.Daemon SELF =
      new RendezvousOwners.Daemon("d1", "127.0.0.1", "a");
  private static final RendezvousOwners.Daemon OTHER =
      new RendezvousOwners.Daemon("d2", "127.0.0.2", "b");
  private static final LimitUpdate LIMIT = new LimitUpdate(new NodeIncarnation("n1", 7), 2, 50, 30);
  private static final Fingerprint SHEET = new Fingerprint(-17);

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(16_384);
  private final RendezvousOwners owners = new RendezvousOwners(SELF);
  private final SharedLimits limits = new SharedLimits(owners);
  private final OwnerClient calls = new OwnerClient(new HttpClient(reactor, timers), timers, 1);
  private final LimitPermitService limitDesk =
      new LimitPermitService(calls, limits, new SimpleMeterRegistry());

  @AfterEach
  void stop() {
    timers.stop();
    reactor.stop();
  }

  private SharedLimits.Reply askForLeave(String dataCentre) throws IOException {
    String target = new PermitRequest(LIMIT, dataCentre).target();
    assertThat(limitDesk.handles(target)).isTrue();
    return PermitRequest.readReply(limitDesk.answer(target));
  }

  @Test
  void aQuestionIsReadAsItWasWritten() throws IOException {
    PermitRequest question = new PermitRequest(LIMIT, "a");
    assertThat(PermitRequest.read(question.target())).isEqualTo(question);
  }

  /** The owner may hear of a limit by the first question about it. */
  @Test
  void anOwnerLearnsTheLimitFromTheQuestionAndTellsWhenThereIsRoom() throws IOException {
    assertThat(askForLeave("a")).isInstanceOf(SharedLimits.Denied.class);
    assertThat(limits.knownLimits().perSecond(LIMIT.incarnation())).isEqualTo(50);
  }

  @Test
  void anOwnerGivesLeaveOnceThereIsRoom() throws IOException {
    SharedLimits.Reply reply = askForLeave("a");
    while (!(reply instanceof SharedLimits.Granted)) {
      reply = askForLeave("a");
    }
    assertThat(reply).isEqualTo(new SharedLimits.Granted());
  }

  @Test
  void whoDoesNotOwnTheLimitSaysSo() throws IOException {
    owners.updateReachable(List.of(OTHER), 2, System.nanoTime());
    assertThat(askForLeave("b")).isEqualTo(new SharedLimits.NotOwned());
  }

  @Test
  void questionsThatCannotBeReadGetNoReply() {
    assertThat(limitDesk.answer("/limits/leave/")).isEmpty();
    assertThat(limitDesk.answer("/limits/leave/%%%")).isEmpty();
    assertThat(limitDesk.answer("/limits/leave/AAAA")).isEmpty();
    assertThatThrownBy(() -> PermitRequest.read("/limits/leave/%"))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("base 64");
  }

  private TrialPermitService trials(boolean gives, List<Fingerprint> asked) {
    return new TrialPermitService(
        calls,
        owners,
        fingerprint -> {
          asked.add(fingerprint);
          return gives;
        });
  }

  @Test
  void theOwnerOfATrialGivesLeaveItself() {
    List<Fingerprint> asked = new ArrayList<>();
    List<Boolean> told = new ArrayList<>();
    trials(true, asked).requestPermit(SHEET, told::add);
    assertThat(told).containsExactly(true);
    assertThat(asked).containsExactly(SHEET);
  }

  @Test
  void aDaemonThatAsksForATrialIsToldYesOrNo() {
    List<Fingerprint> asked = new ArrayList<>();
    String target = "/trials/leave/ffffffffffffffef";
    assertThat(trials(true, asked).handles(target)).isTrue();
    assertThat(trials(true, asked).answer(target)).containsExactly(1);
    assertThat(trials(false, asked).answer(target)).containsExactly(0);
    assertThat(asked).containsExactly(SHEET, SHEET);
    assertThat(trials(true, asked).answer("/trials/leave/sheet")).isEmpty();
  }

  @Test
  void whoDoesNotOwnATrialGivesNoLeave() {
    List<Fingerprint> asked = new ArrayList<>();
    List<RendezvousOwners.Daemon> others = new ArrayList<>();
    for (int number = 2; number < 40; number++) {
      others.add(new RendezvousOwners.Daemon("d" + number, "127.0.0." + number, "a"));
    }
    owners.updateReachable(others, 39, System.nanoTime());
    assertThat(owners.isOwner("ffffffffffffffef", "")).isFalse();
    assertThat(trials(true, asked).answer("/trials/leave/ffffffffffffffef")).containsExactly(0);
    assertThat(asked).isEmpty();
  }
}
