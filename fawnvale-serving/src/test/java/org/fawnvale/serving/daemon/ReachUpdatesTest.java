package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.ResponseListener;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that takes its path to the upstreams for lost while it has one. */
class ReachUpdatesTest {

  private static final long PAUSE_MILLIS = 60_000;
  private static final int PATIENCE_SECONDS = 10;

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(16_384);
  private final UpstreamGate gate =
      new UpstreamGate(
          new SharedLimits(
              new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))),
          Evacuations.disabled());
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final List<ServerSocket> listeners = new ArrayList<>();
  private final List<Node> engines = new ArrayList<>();
  private ReachUpdates updates;

  @BeforeEach
  void start() throws IOException {
    for (int number = 0; number < 4; number++) {
      ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      listeners.add(listener);
      engines.add(engine("n" + number, listener.getLocalPort()));
    }
    NodeClient client =
        new NodeClient(
            new HttpClient(reactor, timers),
            timers,
            gate,
            head -> new NodeResponse(head.getCode(), false, false, 0, null, null),
            registry);
    Call report = Call.get("/report");
    updates = new ReachUpdates(client, order -> report, registry);
    client.onReach(updates);
  }

  private static Node engine(String id, int port) {
    return new Node(
        NodeIncarnation.only(id),
        "engines",
        new Endpoint("127.0.0.1", port),
        "a",
        1,
        false,
        "domain",
        null,
        List.of(),
        null);
  }

  @AfterEach
  void stop() throws IOException {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
    reactor.stop();
    timers.stop();
  }

  private void failAll() {
    synchronized (timers.lock()) {
      engines.forEach(engine -> updates.failed(engine, ResponseListener.Failure.BROKEN));
    }
  }

  private boolean isDoubtfulAfterTick() {
    synchronized (timers.lock()) {
      updates.tick(null, () -> engines, engines, false);
      return updates.isDoubtful();
    }
  }

  /** They may be sent no request, so that none of them answers. */
  @Test
  void pathToUpstreamsThatAllAskedForAPauseIsNotLostWhileTheyAcceptConnections()
      throws InterruptedException {
    NodeResponse asksForPause = new NodeResponse(503, true, false, PAUSE_MILLIS, null, null);
    for (Node engine : engines) {
      gate.recordResponse(engine.life(), asksForPause, System.nanoTime());
    }
    failAll();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    while (isDoubtfulAfterTick() && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(25);
    }
    assertThat(updates.isDoubtful()).isFalse();
  }

  @Test
  void pathToUpstreamsThatRefuseConnectionsIsLost() throws Exception {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
    failAll();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    while (!updates.isLost() && System.nanoTime() < until) {
      isDoubtfulAfterTick();
      TimeUnit.MILLISECONDS.sleep(25);
    }
    assertThat(updates.isLost()).isTrue();
  }
}
