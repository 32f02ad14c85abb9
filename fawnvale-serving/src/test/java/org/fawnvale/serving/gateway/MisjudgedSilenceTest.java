package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.SilenceCheck;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against pauses that are taken for failures, and failures that are taken for pauses. */
class MisjudgedSilenceTest {

  private static final long MILLI = 1_000_000L;
  private static final long ROUND_MILLIS = 25;
  private static final long TIMEOUT_MILLIS = 250;
  private static final long LONG_MILLIS = 20_000;
  private static final Node SILENT = head("silent");
  private static final Node OTHER = head("other");
  private static final Node THIRD = head("third");

  private final RendezvousOwners owners =
      new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"));
  private long now = LONG_MILLIS * MILLI;
  private final Dispatcher dispatcher =
      new Dispatcher("a", new UpstreamGate(new SharedLimits(owners)), () -> now);
  private final List<Reply> replies = new ArrayList<>();
  private long answerMillis = 1;
  private boolean breaks;
  private boolean accepts = true;
  private boolean suspectedElsewhere;
  private final SilenceMonitor monitor =
      new SilenceMonitor(
          dispatcher,
          (node, check) -> send(check),
          new GatewayMetrics(new SimpleMeterRegistry()),
          (head, finding) -> {});

  private record Reply(SilenceCheck check, long atNanos) {}

  private static Node head(String id) {
    return new Node(
        NodeIncarnation.only(id),
        "s",
        new Endpoint("127.0.0.1", 1),
        "a",
        10,
        false,
        "domain",
        "m",
        List.of(),
        new Membership("g" + id, 1, 0, MemberState.OPEN));
  }

  private void send(SilenceCheck check) {
    if (!accepts) {
      return;
    }
    check.connected(now);
    replies.add(new Reply(check, now + answerMillis * MILLI));
  }

  @BeforeEach
  void beginStreams() {
    dispatcher.setUpstreams(List.of(SILENT, OTHER, THIRD));
    for (Node node : List.of(SILENT, OTHER, THIRD)) {
      UpstreamState state = dispatcher.state(node.id());
      state.requestSent(now);
      state.recordProgress(now);
      state.responseStarted();
    }
  }

  private void round(boolean othersGoOn) {
    now += ROUND_MILLIS * MILLI;
    replies.removeIf(this::deliver);
    if (othersGoOn) {
      dispatcher.state(OTHER.id()).recordProgress(now);
      dispatcher.state(THIRD.id()).recordProgress(now);
    }
    monitor.beginRound(now);
    for (Node node : List.of(SILENT, OTHER, THIRD)) {
      monitor.check(
          node, new SilenceMonitor.Silence(TIMEOUT_MILLIS * MILLI, suspectedElsewhere), now);
    }
  }

  private boolean deliver(Reply reply) {
    if (now < reply.atNanos()) {
      return false;
    }
    if (breaks) {
      reply.check().broken();
    } else {
      reply.check().answered(reply.atNanos());
    }
    return true;
  }

  /** A member is without power; the head answers queries, but after 60 ms. */
  @Test
  void groupThatHasLostAMemberStallsThoughItsHeadAnswersQueriesLate() {
    answerMillis = 60;
    long begin = now;
    while (!dispatcher.state(SILENT.id()).isSuspect() && now - begin < LONG_MILLIS * MILLI) {
      round(true);
    }
    assertThat((now - begin) / MILLI).isLessThan(4_000);
  }

  @Test
  void headsWhoseMembersPauseTogetherStayPausedUntilTheyGoOn() {
    int pausedRounds = 0;
    int rounds = 0;
    for (long begin = now; now - begin < 1_500 * MILLI; ) {
      round(false);
      if (now - begin > 300 * MILLI) {
        rounds++;
        pausedRounds += dispatcher.state(SILENT.id()).isPaused() ? 1 : 0;
      }
    }
    assertThat(pausedRounds).isEqualTo(rounds);
  }

  /** An upstream that goes on after a pause resets connections that it has no room for. */
  @Test
  void queryThatIsResetBesideAStandingStreamIsNoProofOfADeath() {
    breaks = true;
    answerMillis = 1_000;
    for (long begin = now; now - begin < 1_000 * MILLI; ) {
      round(true);
    }
    assertThat(dispatcher.state(SILENT.id()).isPaused()).isTrue();
    answerMillis = 1;
    for (long begin = now; now - begin < 300 * MILLI; ) {
      round(true);
    }
    assertThat(dispatcher.state(SILENT.id()).isSuspect()).isFalse();
  }

  private long millisUntilSuspect(boolean othersGoOn) {
    long begin = now;
    while (!dispatcher.state(SILENT.id()).isSuspect() && now - begin < LONG_MILLIS * MILLI) {
      round(othersGoOn);
    }
    return (now - begin) / MILLI;
  }

  /** All heads that this daemon uses have lost power; near daemons hear others and tell so. */
  @Test
  void unreachableHeadsThatPeersSuspectAreNotKeptAsPausing() {
    accepts = false;
    suspectedElsewhere = true;
    assertThat(millisUntilSuspect(false)).isLessThan(1_000);
  }

  /** Its other members have left, so its streams can't go on. */
  @Test
  void silentHeadWhoseGroupIsDissolvedIsNotKeptAsPausing() {
    answerMillis = LONG_MILLIS;
    dispatcher.setUpstreams(List.of(OTHER, THIRD));
    assertThat(millisUntilSuspect(true)).isLessThan(1_000);
  }

  @Test
  void headThatAnswersNothingForLongerThanAPauseStalls() {
    answerMillis = LONG_MILLIS;
    assertThat(millisUntilSuspect(true)).isBetween(3_000L, 4_000L);
  }
}
