package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.serving.core.admission.ForecastTarget;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Choice and refusal by predicted times, and the unchanged choice without them. */
class ForecastDispatchTest {

  private static final int SLOTS = 20;
  private static final long MILLI = 1_000_000L;
  private static final ModelSpec MODEL = new ModelSpec("m", 4, 1, 1, 12_000, 1_100);
  private static final EngineSpec ENGINE =
      new EngineSpec(
          SLOTS,
          1_000_000,
          5,
          2_048,
          List.of(MODEL),
          6,
          0.3,
          0,
          46_000,
          0,
          14,
          21,
          300,
          new RequestSize(920, 100));
  private static final DispatchRequest PLAIN =
      new DispatchRequest("engines", "m", DispatchRequest.AdmissionClass.FIRST);
  private static final DispatchRequest FIRST = PLAIN.withTarget(target(true));

  private final AtomicLong now = new AtomicLong();

  private Dispatcher dispatcher(int heads) {
    UpstreamGate gate =
        new UpstreamGate(
            new SharedLimits(
                new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));
    Dispatcher dispatcher = new Dispatcher("here", new Random(5), gate, now::get);
    List<Node> nodes = new ArrayList<>();
    for (int number = 0; number < heads; number++) {
      nodes.add(
          new Node(
              NodeIncarnation.only("h" + number),
              "engines",
              new Endpoint("10.0.0.1", 1),
              "here",
              SLOTS,
              false,
              "domain",
              "m",
              List.of(),
              new Membership("g", 1, 0, MemberState.OPEN)));
    }
    dispatcher.setUpstreams(nodes);
    return dispatcher;
  }

  private static ForecastTarget target(boolean refusedIfLate) {
    RequestSize size = new RequestSize(920, 100);
    return new ForecastTarget(ENGINE, MODEL, size, 0, 300, 300, 1.25, refusedIfLate);
  }

  private static String target(Choice choice) {
    return ((Choice.Send) choice).node().id();
  }

  /** Guards against a head that looks free by its number of requests but prefills long prompts. */
  @Test
  void avoidsTheHeadWithLongPrompts() {
    Dispatcher dispatcher = dispatcher(2);
    dispatcher.setPeersInFlight(Map.of("h1", 4));
    dispatcher.state("h0").requestSent(0);
    dispatcher.state("h0").promptSent(9_000);
    assertThat(target(dispatcher.choose(PLAIN, Set.of()))).isEqualTo("h0");
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("h1");
    dispatcher.state("h0").promptAnswered(9_000);
    assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("h0");
  }

  /**
   * Guards against late answers in a burst, and against a second refusal, which loses the caller.
   */
  @Test
  void refusesFirstTriesThatAreClearlyLateButNoReturningCallers() {
    Dispatcher dispatcher = dispatcher(2);
    dispatcher.setForecast(new HeadForecast(), node -> 12);
    dispatcher.setPeersInFlight(Map.of("h0", 10, "h1", 10));
    assertThat(dispatcher.choose(FIRST, Set.of()))
        .isEqualTo(new Choice.Refuse("no upstream answers in time", UpstreamGate.NOW));
    assertThat(dispatcher.choose(FIRST.asReturning(), Set.of())).isInstanceOf(Choice.Send.class);
    dispatcher.setPeersInFlight(Map.of("h0", 2 * SLOTS, "h1", 2 * SLOTS));
    assertThat(dispatcher.choose(FIRST.asReturning(), Set.of())).isInstanceOf(Choice.Refuse.class);
  }

  /**
   * Guards against refusals below capacity by a forecast that is wrong, in small and large fleets.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 450 * MILLI})
  void lateFirstTriesAreSentWhereASlotIsFreeUnlessTheLevelRefuses(long reportAgeNanos) {
    Dispatcher dispatcher = dispatcher(2);
    dispatcher.setReportAge(reportAgeNanos);
    DispatchRequest mayBeLate = PLAIN.withTarget(target(false));
    dispatcher.setForecast(new HeadForecast(), node -> 12);
    dispatcher.setPeersInFlight(Map.of("h0", SLOTS, "h1", SLOTS - 1));
    assertThat(target(dispatcher.choose(mayBeLate, Set.of()))).isEqualTo("h1");
    assertThat(dispatcher.choose(FIRST, Set.of())).isInstanceOf(Choice.Refuse.class);
    dispatcher.setPeersInFlight(Map.of("h0", SLOTS, "h1", SLOTS));
    assertThat(dispatcher.choose(mayBeLate, Set.of()))
        .isEqualTo(new Choice.Refuse(Dispatcher.NOT_IN_TIME, UpstreamGate.NOW));
  }

  /** Guards against refusals while some head, outside the sample, could answer in time. */
  @Test
  void oneFastHeadOfManyIsFound() {
    Dispatcher dispatcher = dispatcher(20);
    dispatcher.setDaemonCount(83);
    dispatcher.setForecast(new HeadForecast(), node -> "h7".equals(node) ? 1 : 40);
    for (int request = 0; request < 100; request++) {
      assertThat(target(dispatcher.choose(FIRST, Set.of()))).isEqualTo("h7");
    }
  }

  /** Guards against a request that is sent although the time it has waited here made it late. */
  @Test
  void timeSinceTheRequestWasReceivedCounts() {
    Dispatcher dispatcher = dispatcher(1);
    assertThat(dispatcher.choose(FIRST, Set.of())).isInstanceOf(Choice.Send.class);
    now.set(280 * MILLI);
    assertThat(dispatcher.choose(FIRST, Set.of())).isInstanceOf(Choice.Refuse.class);
  }

  /** Guards against a change of choices where admission by predicted times is off. */
  @Test
  void requestsWithoutTargetAreChosenByLoadAlone() {
    Dispatcher plain = dispatcher(12);
    Dispatcher forecasting = dispatcher(12);
    forecasting.setForecast(new HeadForecast(), node -> node.hashCode() % 7 + 1);
    Random random = new Random(11);
    for (int request = 0; request < 300; request++) {
      Map<String, Integer> inFlight = new HashMap<>();
      inFlight.put("h" + random.nextInt(12), SLOTS);
      inFlight.put("h" + random.nextInt(12), random.nextInt(2 * SLOTS));
      plain.setPeersInFlight(inFlight);
      forecasting.setPeersInFlight(inFlight);
      forecasting.state("h" + random.nextInt(12)).promptSent(4_000);
      assertThat(forecasting.choose(PLAIN, Set.of())).isEqualTo(plain.choose(PLAIN, Set.of()));
    }
  }
}
