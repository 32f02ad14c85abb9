package org.fawnvale.serving.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawnvale.serving.core.limit.ColdPeriods.Source;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that are taken for warm too early, or for cold for ever. */
class ColdPeriodsTest {

  private static final long MILLI = 1_000_000L;
  private static final Map<String, ServiceSpec> SERVICES =
      Map.of(
          "s",
          new ServiceSpec("s", 50, null, new ServiceSpec.ColdStart(30_000, 15)),
          "plain",
          new ServiceSpec("plain", 50, null, null));

  private final RendezvousOwners.Daemon self = new RendezvousOwners.Daemon("d", "127.0.0.1", "a");
  private final RendezvousOwners owners = new RendezvousOwners(self);
  private final SharedLimits limits = new SharedLimits(owners);
  private final ColdPeriods periods = limits.coldPeriods();

  private static Node node(String id, String service, String dataCentre, int coldMillis) {
    return new Node(
        new NodeIncarnation(id, 7),
        service,
        new Endpoint("10.0.0.1", 1),
        dataCentre,
        4,
        false,
        "",
        null,
        List.of(),
        null,
        coldMillis);
  }

  private static Node node(int coldMillis) {
    return node("n", "s", "a", coldMillis);
  }

  private long remaining(Node node, long nowMillis) {
    return periods.remainingMillis(node.life(), nowMillis * MILLI);
  }

  private void list(long nowMillis, Node... nodes) {
    periods.update(List.of(nodes), SERVICES, nowMillis * MILLI);
  }

  @Test
  void entryCountsFromTheMomentItIsFirstSeen() {
    list(1_000, node(5_000));
    list(4_000, node(5_000));
    assertThat(remaining(node(0), 4_000)).isEqualTo(2_000);
    assertThat(periods.perSecond(node(0).life(), 5_999 * MILLI)).isEqualTo(15);
    assertThat(periods.isCold(node(0).life(), 6_000 * MILLI)).isFalse();
    list(7_000, node(5_000));
    assertThat(remaining(node(0), 7_000)).isZero();
  }

  @Test
  void entryThatTurnsColdAgainStartsANewPeriod() {
    list(0, node(5_000));
    list(5_000, node(0));
    list(9_000, node(5_000));
    assertThat(remaining(node(0), 9_000)).isEqualTo(5_000);
  }

  /** A late message must not expose a cold upstream to the full load. */
  @Test
  void noSourceShortensAPeriod() {
    list(0, node(20_000));
    list(100, node(0));
    periods.extend(node(0).life(), "s", 5, Source.ANSWER, 200 * MILLI);
    periods.extend(node(0).life(), "s", 0, Source.PEER, 200 * MILLI);
    assertThat(remaining(node(0), 200)).isEqualTo(19_800);
    periods.extend(node(0).life(), "s", 25_000, Source.ANSWER, 200 * MILLI);
    assertThat(remaining(node(0), 200)).isEqualTo(25_000);
  }

  @Test
  void anotherIncarnationIsNotCold() {
    list(0, node(20_000));
    assertThat(periods.isCold(new NodeIncarnation("n", 8), 0)).isFalse();
  }

  @Test
  void returnOfAnEvacuationCoolsPresentAndLaterNodesOfTheDataCentre() {
    Node present = node("n1", "s", "a", 0);
    Node later = node("n2", "s", "a", 0);
    Node elsewhere = node("n3", "s", "b", 0);
    Node plain = node("n4", "plain", "a", 0);
    list(0, present, elsewhere, plain);
    periods.assumeCold("a", List.of(present, elsewhere, plain), 1_000 * MILLI);
    assertThat(remaining(present, 1_000)).isEqualTo(30_000);
    list(11_000, present, later, elsewhere, plain);
    assertThat(remaining(later, 11_000)).isEqualTo(20_000);
    assertThat(remaining(present, 11_000)).isEqualTo(20_000);
    assertThat(remaining(elsewhere, 11_000)).isZero();
    assertThat(remaining(plain, 11_000)).isZero();
    periods.takeChanges(31_001 * MILLI);
    list(31_002, present, later);
    assertThat(remaining(present, 31_002)).isZero();
  }

  /** The return may be learned before the configuration. */
  @Test
  void returnThatIsLearnedBeforeTheConfigurationIsKept() {
    periods.assumeCold("a", List.of(node(0)), 0);
    list(1_000, node(0));
    assertThat(remaining(node(0), 1_000)).isEqualTo(29_000);
  }

  @Test
  void serviceWithoutColdStartIsNeverCold() {
    Node plain = node("n", "plain", "a", 20_000);
    list(0, plain);
    periods.extend(plain.life(), "plain", 20_000, Source.ANSWER, 0);
    periods.extend(plain.life(), "unknown", 20_000, Source.PEER, 0);
    assertThat(periods.isCold(plain.life(), 0)).isFalse();
    assertThat(limits.admission(plain, 0)).isEqualTo(SharedLimits.Admission.UNLIMITED);
    assertThat(limits.tryAcquire(plain, 0)).isTrue();
    assertThat(limits.takeColdChanges(0)).isEmpty();
  }

  @Test
  void warmNodeIsUnlimitedAndNoOwnerIsAsked() {
    list(0, node(0));
    assertThat(limits.admission(node(0), 0)).isEqualTo(SharedLimits.Admission.UNLIMITED);
    assertThat(limits.requestPermit(node(0).life(), "a", 0)).isEqualTo(new SharedLimits.NotOwned());
    assertThat(limits.nanosUntilAvailable(node(0), 0)).isZero();
  }

  @Test
  void changesAreReportedOncePerPeriod() {
    list(0, node(5_000));
    periods.extend(node(0).life(), "s", 6_000, Source.ANSWER, 0);
    assertThat(limits.takeColdChanges(MILLI))
        .containsExactly(new ColdPeriods.TurnedCold(node(0).life(), Source.ENTRY, 5_000, 15));
    assertThat(limits.takeColdChanges(5_999 * MILLI)).isEmpty();
    assertThat(periods.coldCount(5_999 * MILLI)).isEqualTo(1);
    assertThat(limits.takeColdChanges(6_000 * MILLI))
        .containsExactly(new ColdPeriods.TurnedWarm(node(0).life()));
    assertThat(periods.coldCount(6_000 * MILLI)).isZero();
  }

  private int sentWithin(long fromMillis, long untilMillis) {
    int sent = 0;
    for (long at = fromMillis; at < untilMillis; at++) {
      sent += limits.tryAcquire(node(0), at * MILLI) ? 1 : 0;
    }
    return sent;
  }

  @Test
  void lowerOfAdvertisedAndColdLimitHolds() {
    list(0, node(60_000));
    assertThat(sentWithin(0, 4_000)).isBetween(58, 62);
    advertise(2, 4_000);
    assertThat(sentWithin(4_000, 8_000)).isBetween(6, 10);
    advertise(100, 8_000);
    assertThat(sentWithin(8_000, 12_000)).isBetween(58, 62);
  }

  /** Before it hears its peers, a daemon takes itself for the owner of every limit. */
  @Test
  void daemonThatStartsSendsNothingToColdNodesForTwoSeconds() {
    SharedLimits starting = new SharedLimits(new RendezvousOwners(self, 0));
    starting.coldPeriods().update(List.of(node(60_000)), SERVICES, 0);
    for (long at = 0; at <= 2_000; at += 10) {
      assertThat(starting.tryAcquire(node(0), at * MILLI)).isFalse();
    }
    assertThat(starting.tryAcquire(node(0), 2_100 * MILLI)).isTrue();
  }

  /** The end of the advertised limit must not open a node that is still cold. */
  @Test
  void coldLimitHoldsWhenTheAdvertisedLimitEnds() {
    list(0, node(60_000));
    advertise(2, 0);
    NodeResponse without = new NodeResponse(200, false, false, 0, null, null);
    for (int answer = 0; answer < 2; answer++) {
      int version = limits.knownLimits().version(node(0).life());
      limits.recordResponse(node(0).life(), without, version, true, 0);
    }
    assertThat(limits.knownLimits().activeCount()).isZero();
    assertThat(sentWithin(0, 4_000)).isBetween(58, 62);
  }

  private void advertise(double perSecond, long nowMillis) {
    NodeResponse response =
        new NodeResponse(200, false, false, 0, null, AdvertisedLimit.of(perSecond, "told"));
    int version = limits.knownLimits().version(node(0).life());
    limits.recordResponse(node(0).life(), response, version, true, nowMillis * MILLI);
  }

  /** Whatever the order of the sources, the period ends no earlier than any of them said. */
  @Property(tries = 300, seed = "20261203")
  void periodEndsNoEarlierThanAnySourceSaid(
      @ForAll @Size(max = 12) List<@IntRange(max = 40_000) Integer> told) {
    RendezvousOwners alone = new RendezvousOwners(self);
    ColdPeriods own = new SharedLimits(alone).coldPeriods();
    long latestMillis = 0;
    long now = 0;
    for (int index = 0; index < told.size(); index++) {
      now += 700;
      int millis = told.get(index);
      if (index % 2 == 0) {
        own.update(List.of(node(millis)), SERVICES, now * MILLI);
      } else {
        own.extend(node(0).life(), "s", millis, Source.ANSWER, now * MILLI);
      }
      boolean repeated = index % 2 == 0 && index > 1 && told.get(index - 2).equals(millis);
      latestMillis = repeated || millis == 0 ? latestMillis : Math.max(latestMillis, now + millis);
      own.takeChanges(now * MILLI);
      assertThat(own.remainingMillis(node(0).life(), now * MILLI))
          .isEqualTo(Math.max(0, latestMillis - now));
    }
  }
}
