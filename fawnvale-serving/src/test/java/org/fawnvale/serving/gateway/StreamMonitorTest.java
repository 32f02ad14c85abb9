package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.pace.HeadPaces;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;

/** How the pauses of streams become the pace of a head. */
class StreamMonitorTest {

  private static final long MILLI = 1_000_000L;

  private static final Node HEAD =
      new Node(
          NodeIncarnation.only("h"),
          "s",
          new Endpoint("127.0.0.1", 1),
          "a",
          10,
          false,
          "domain",
          "m",
          List.of(),
          new Membership("g", 1, 0, MemberState.OPEN));

  private final RendezvousOwners owners =
      new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"));
  private final Dispatcher dispatcher =
      new Dispatcher("a", new UpstreamGate(new SharedLimits(owners)), System::nanoTime);
  private final GatewayMetrics metrics = new GatewayMetrics(new SimpleMeterRegistry());
  private final StreamMonitor monitor =
      new StreamMonitor(
          dispatcher,
          metrics,
          new SilenceMonitor(dispatcher, (head, check) -> {}, metrics, (head, finding) -> {}));
  private final HeadPaces paces = new HeadPaces();
  private long now;

  /** Records events at a pause in milliseconds. */
  private void events(int count, double pauseMillis, boolean betweenEvents) {
    for (int event = 0; event < count; event++) {
      long previous = now;
      now += (long) (pauseMillis * MILLI);
      monitor.recordEvent(HEAD, dispatcher.state("h"), now, previous, betweenEvents);
    }
    paces.update(Map.of(), now);
  }

  private void observe() {
    dispatcher.setPeersInFlight(Map.of("h", 5));
    paces.setHeads(List.of(HEAD), now);
    monitor.observe(paces);
    monitor.check(List.of(), GatewayTest.configuration(), Set.of());
  }

  /**
   * Guards against a pace that counts the wait for the start of a stream, and against heads that
   * look slow because their batch is full.
   */
  @Test
  void pausesAreComparedWithThePassOfAFullBatchThatPrefillsAPrompt() {
    observe();
    events(5, 400, false);
    assertThat(paces.of("h")).isEqualTo(1);
    double pass = fullPassMillis();
    events(5, pass, true);
    assertThat(paces.of("h")).isCloseTo(1, within(1e-3));
    events(12, 5 * pass, true);
    assertThat(paces.of("h")).isCloseTo(5, within(1e-3));
  }

  private static double fullPassMillis() {
    EngineSpec engine = GatewayTest.configuration().services().get("s").engine();
    ModelSpec model = engine.model("m");
    return EngineTimes.passMillis(engine, model, engine.slots())
        + EngineTimes.prefillMillis(engine, model, engine.usual().promptTokens());
  }

  /** Guards against paces that a daemon observes while its own code is still slow. */
  @Test
  void nothingIsObservedBeforeTheFirstCheckOrWithThePolicyOff() {
    paces.setHeads(List.of(HEAD), now);
    events(5, 27.5, true);
    monitor.observe(paces);
    events(5, 27.5, true);
    assertThat(paces.of("h")).isEqualTo(1);
  }
}
