package org.fawnvale.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** A daemon's answers to the permit and trial requests of other daemons. */
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
  private final OwnerClient ownerClient =
      new OwnerClient(new HttpClient(reactor, timers), timers, 1);
  private final LimitPermitService limitPermits =
      new LimitPermitService(ownerClient, limits, new SimpleMeterRegistry());

  @AfterEach
  void stop() {
    timers.stop();
    reactor.stop();
  }

  private SharedLimits.Reply requestLimitPermit(String dataCentre) throws IOException {
    String target = new PermitRequest(LIMIT, dataCentre).target();
    assertThat(limitPermits.handles(target)).isTrue();
    return PermitRequest.readReply(limitPermits.answer(target));
  }

  @Test
  void permitRequestSurvivesEncodingAndDecoding() throws IOException {
    PermitRequest permitRequest = new PermitRequest(LIMIT, "a");
    assertThat(PermitRequest.read(permitRequest.target())).isEqualTo(permitRequest);
  }

  /** The owner may receive a limit first with a permit request. */
  @Test
  void ownerRecordsTheLimitFromThePermitRequestAndDeniesWithAWait() throws IOException {
    assertThat(requestLimitPermit("a")).isInstanceOf(SharedLimits.Denied.class);
    assertThat(limits.knownLimits().perSecond(LIMIT.incarnation())).isEqualTo(50);
  }

  @Test
  void ownerGrantsAPermitOnceTheLimitAllows() throws IOException {
    SharedLimits.Reply reply = requestLimitPermit("a");
    while (!(reply instanceof SharedLimits.Granted)) {
      reply = requestLimitPermit("a");
    }
    assertThat(reply).isEqualTo(new SharedLimits.Granted());
  }

  /** Guards against an owner that grants nothing, or everything, since its list is older. */
  @Test
  void ownerLearnsFromThePermitRequestThatTheNodeIsCold() throws IOException {
    NodeIncarnation cold = new NodeIncarnation("n2", 7);
    ServiceSpec service = new ServiceSpec("s", 50, null, new ServiceSpec.ColdStart(30_000, 15));
    limits.coldPeriods().update(List.of(), Map.of("s", service), System.nanoTime());
    PermitRequest request = new PermitRequest(LimitUpdate.nothingKnown(cold), "a", "s", 20_000);
    assertThat(PermitRequest.read(request.target())).isEqualTo(request);
    assertThat(PermitRequest.readReply(limitPermits.answer(request.target())))
        .isInstanceOf(SharedLimits.Denied.class);
    assertThat(limits.coldPeriods().isCold(cold, System.nanoTime())).isTrue();
    assertThat(limits.knownLimits().activeCount()).isZero();
  }

  /** Daemons of the version before cold upstreams must still read requests for warm nodes. */
  @Test
  void permitRequestForAWarmNodeHasTheFormatOfBefore() throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      LimitUpdateCodec.write(packer, List.of(LIMIT));
      packer.packString("a");
      assertThat(new PermitRequest(LIMIT, "a").target())
          .endsWith(Base64.getUrlEncoder().withoutPadding().encodeToString(packer.toByteArray()));
    }
  }

  /** A node that is warm and names no limit is sent to without a question, as ever. */
  @Test
  void noPermitIsRequestedForAWarmNode() {
    List<Boolean> results = new ArrayList<>();
    Node warm =
        new Node(
            new NodeIncarnation("n3", 7),
            "s",
            new Endpoint("127.0.0.1", 1),
            "a",
            4,
            false,
            "",
            null,
            List.of(),
            null);
    limitPermits.requestPermit(warm, results::add);
    assertThat(results).containsExactly(true);
  }

  @Test
  void daemonThatDoesNotOwnTheLimitRepliesNotOwned() throws IOException {
    owners.updateReachable(List.of(OTHER), 2, System.nanoTime());
    assertThat(requestLimitPermit("b")).isEqualTo(new SharedLimits.NotOwned());
  }

  @Test
  void malformedPermitRequestsGetAnEmptyReply() {
    assertThat(limitPermits.answer("/limits/leave/")).isEmpty();
    assertThat(limitPermits.answer("/limits/leave/%%%")).isEmpty();
    assertThat(limitPermits.answer("/limits/leave/AAAA")).isEmpty();
    assertThatThrownBy(() -> PermitRequest.read("/limits/leave/%"))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("base 64");
  }

  private TrialPermitService trialPermits(boolean grants, List<Fingerprint> decided) {
    return new TrialPermitService(
        ownerClient,
        owners,
        fingerprint -> {
          decided.add(fingerprint);
          return grants;
        });
  }

  @Test
  void ownerOfATrialDecidesLocally() {
    List<Fingerprint> decided = new ArrayList<>();
    List<Boolean> results = new ArrayList<>();
    trialPermits(true, decided).requestPermit(SHEET, results::add);
    assertThat(results).containsExactly(true);
    assertThat(decided).containsExactly(SHEET);
  }

  @Test
  void ownerGrantsOrDeniesATrialToAnotherDaemon() {
    List<Fingerprint> decided = new ArrayList<>();
    String target = "/trials/leave/ffffffffffffffef";
    assertThat(trialPermits(true, decided).handles(target)).isTrue();
    assertThat(trialPermits(true, decided).answer(target)).containsExactly(1);
    assertThat(trialPermits(false, decided).answer(target)).containsExactly(0);
    assertThat(decided).containsExactly(SHEET, SHEET);
    assertThat(trialPermits(true, decided).answer("/trials/leave/sheet")).isEmpty();
  }

  @Test
  void daemonThatDoesNotOwnATrialDeniesIt() {
    List<Fingerprint> decided = new ArrayList<>();
    List<RendezvousOwners.Daemon> others = new ArrayList<>();
    for (int number = 2; number < 40; number++) {
      others.add(new RendezvousOwners.Daemon("d" + number, "127.0.0." + number, "a"));
    }
    owners.updateReachable(others, 39, System.nanoTime());
    assertThat(owners.isOwner("ffffffffffffffef", "")).isFalse();
    assertThat(trialPermits(true, decided).answer("/trials/leave/ffffffffffffffef"))
        .containsExactly(0);
    assertThat(decided).isEmpty();
  }
}
