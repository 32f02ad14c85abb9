package org.fawnvale.serving.gateway;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.pace.HeadPaces;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;

/** Runs a real gateway on loopback in front of scripted upstreams. */
final class RunningGateway implements AutoCloseable {

  private static final int SLOTS = 10;

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(16_384);
  private final UpstreamGate gate =
      new UpstreamGate(
          new SharedLimits(
              new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));
  private final Dispatcher dispatcher = new Dispatcher("a", gate, System::nanoTime);
  private final Gateway gateway;
  private final HeadPaces paces = new HeadPaces();
  private final int port;

  RunningGateway() throws IOException {
    Settings.Bounds bounds = new Settings.Bounds(4_000, 8_000, 0.2, 100, 10_000, 5_000, 2_000);
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    TestPlatform platform = new TestPlatform();
    HttpClient client = new HttpClient(reactor, timers);
    NodeClient nodeClient = new NodeClient(client, timers, gate, platform::answer, registry);
    GatewayMetrics metrics = new GatewayMetrics(registry);
    gateway = new Gateway(timers, nodeClient, platform, dispatcher, bounds, metrics);
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    reactor.listen(new Endpoint("127.0.0.1", port), gateway::handler);
  }

  Gateway gateway() {
    return gateway;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  Timers timers() {
    return timers;
  }

  Object lock() {
    return timers.lock();
  }

  int port() {
    return port;
  }

  /** Sets the routes and releases the requests that wait for them. */
  void makeFleetKnown() {
    synchronized (lock()) {
      gateway.routes(RouteTable.of(GatewayTest.configuration()));
      gateway.onFleetKnown();
    }
  }

  /** Makes upstreams known as nodes n0, n1 and so on; an empty model means none. */
  void serve(List<ScriptedUpstream> upstreams, String model) {
    List<Node> nodes = new ArrayList<>();
    for (ScriptedUpstream upstream : upstreams) {
      NodeIncarnation incarnation = NodeIncarnation.only("n" + nodes.size());
      Endpoint endpoint = new Endpoint("127.0.0.1", upstream.port());
      String groupModel = model.isEmpty() ? null : model;
      nodes.add(
          new Node(incarnation, "s", endpoint, "a", SLOTS, false, "", groupModel, List.of(), null));
    }
    synchronized (lock()) {
      dispatcher.setUpstreams(nodes);
      paces.setHeads(nodes, System.nanoTime());
    }
  }

  /** Turns the policy on that places requests by pace, with the paces that peers report. */
  void setPaces(Map<String, Double> reported) {
    synchronized (lock()) {
      gateway.observePaces(paces);
      dispatcher.setPaces(paces);
      paces.update(reported, System.nanoTime());
    }
  }

  /** Sends a caller's request to a path and waits for the response. */
  HttpResponse<String> send(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + path))
            .header("T-Id", "r")
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return java.net.http.HttpClient.newHttpClient()
        .send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() {
    timers.stop();
    reactor.stop();
  }
}
