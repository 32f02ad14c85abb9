package org.fawnvale.serving.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.pace.HeadPaces;
import org.fawnvale.serving.core.pace.PaceView;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.CallerConnections;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;

/** Runs a real gateway on loopback in front of scripted upstreams. */
final class RunningGateway implements AutoCloseable {

  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int EXPIRY_CHECK_MILLIS = 20;
  private static final int SLOTS = 10;
  private static final long CALL_TIMEOUT_MILLIS = 20_000;

  /** The gateway has run for the window of its retry budget. */
  private static final long UPTIME_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Timers timers = new Timers(new Object());
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final CallerMemory memory;
  private final HttpReactor reactor;
  private final UpstreamGate gate;
  private final Dispatcher dispatcher;
  private final Gateway gateway;
  private final GatewayMetrics metrics;
  private final HeadPaces paces = new HeadPaces();
  private final HttpClient client;
  private final NodeClient nodeClient;
  private final CallerConnections connections;
  private final int port;
  private List<Node> served = List.of();

  RunningGateway() throws IOException {
    this(Evacuations.disabled(), Settings.CallerBuffers.DEFAULT);
  }

  /** Starts the gateway of a daemon in data centre a. */
  RunningGateway(Evacuations evacuations) throws IOException {
    this(evacuations, Settings.CallerBuffers.DEFAULT);
  }

  RunningGateway(Settings.CallerBuffers callerBuffers) throws IOException {
    this(Evacuations.disabled(), callerBuffers);
  }

  private RunningGateway(Evacuations evacuations, Settings.CallerBuffers callerBuffers)
      throws IOException {
    memory = new CallerMemory(callerBuffers);
    reactor = HttpReactor.start(MAX_HEADER_BYTES, memory);
    gate =
        new UpstreamGate(
            new SharedLimits(
                new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))),
            evacuations);
    dispatcher = new Dispatcher("a", gate, System::nanoTime);
    Settings.Bounds bounds = new Settings.Bounds(4_000, 8_000, 0.2, 100, 10_000, 5_000, 2_000);
    TestPlatform platform = new TestPlatform();
    client = new HttpClient(reactor, timers);
    nodeClient = new NodeClient(client, timers, gate, platform::answer, registry);
    metrics = new GatewayMetrics(registry);
    long startedNanos = System.nanoTime() - UPTIME_NANOS;
    gateway =
        new Gateway(
            timers, nodeClient, platform, dispatcher, bounds, memory, metrics, startedNanos);
    gateway.setDaemonCount(1);
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    connections = new CallerConnections(callerBuffers.connections(), memory);
    reactor.listen(new Endpoint("127.0.0.1", port), gateway::handler, connections);
  }

  /** Limits how long a head may take and a connection be idle, in milliseconds; 0 for no limit. */
  void limitTimes(int headerMillis, int idleMillis) {
    reactor.updateLimits(MAX_HEADER_BYTES, headerMillis, idleMillis);
    timers.every(EXPIRY_CHECK_MILLIS, connections::closeExpired);
  }

  /** Takes requests that other daemons forward; returns the port. */
  int takeForwarded() throws IOException {
    int forwardPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      forwardPort = socket.getLocalPort();
    }
    reactor.listen(new Endpoint("127.0.0.1", forwardPort), gateway::forwardedHandler);
    return forwardPort;
  }

  /** Forwards requests to peers on this machine that take them at a port. */
  void forwardTo(int forwardPort, Collection<PeerMessage> peers) {
    gateway.setPeerForwarding(new PeerForwarding(client, forwardPort, "a", () -> peers));
  }

  Gateway gateway() {
    return gateway;
  }

  /** Sends an order or a query to node n0. */
  CompletableFuture<BufferedCall.Reply> call(Call call) {
    CompletableFuture<BufferedCall.Reply> reply = new CompletableFuture<>();
    synchronized (lock()) {
      nodeClient.call(served.get(0), call, CALL_TIMEOUT_MILLIS, reply::complete);
    }
    return reply;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  Timers timers() {
    return timers;
  }

  /** Returns the value of a gauge or counter; 0 before the first count. */
  double metric(String name, String... tags) {
    Gauge gauge = registry.find(name).tags(tags).gauge();
    Counter counter = registry.find(name).tags(tags).counter();
    synchronized (lock()) {
      return gauge != null ? gauge.value() : counter != null ? counter.count() : 0;
    }
  }

  Object lock() {
    return timers.lock();
  }

  int port() {
    return port;
  }

  /** Sets the routes and releases the requests that wait for them. */
  void makeFleetKnown() {
    makeFleetKnown(GatewayTest.configuration());
  }

  void makeFleetKnown(Configuration configuration) {
    synchronized (lock()) {
      gateway.routes(RouteTable.of(configuration));
      gateway.onFleetKnown();
    }
  }

  /** Returns the value of a counter with the given value of its only tag. */
  double count(String name, String tag, String value) {
    return registry.counter(name, tag, value).count();
  }

  /** Sets the services, some of which may have a cold start. */
  void configure(Map<String, ServiceSpec> services) {
    synchronized (lock()) {
      gate.limits().coldPeriods().update(List.of(), services, System.nanoTime());
    }
  }

  /** Makes upstreams known as nodes n0, n1 and so on; an empty model means none. */
  void serve(List<ScriptedUpstream> upstreams, String model) {
    serve(upstreams, model, Collections.nCopies(upstreams.size(), "a"));
  }

  /** Makes upstreams known as nodes n0, n1 and so on, each in the data centre of its number. */
  void serve(List<ScriptedUpstream> upstreams, String model, List<String> dataCentres) {
    serveAt(upstreams.stream().map(ScriptedUpstream::port).toList(), model, dataCentres);
  }

  /** Makes the upstreams at these ports known as nodes n0, n1 and so on. */
  void serveAt(List<Integer> ports, String model) {
    serveAt(ports, model, Collections.nCopies(ports.size(), "a"));
  }

  private void serveAt(List<Integer> ports, String model, List<String> dataCentres) {
    List<Node> nodes = new ArrayList<>();
    for (int upstreamPort : ports) {
      NodeIncarnation incarnation = NodeIncarnation.only("n" + nodes.size());
      Endpoint endpoint = new Endpoint("127.0.0.1", upstreamPort);
      String groupModel = model.isEmpty() ? null : model;
      nodes.add(
          new Node(
              incarnation,
              "s",
              endpoint,
              dataCentres.get(nodes.size()),
              SLOTS,
              false,
              "",
              groupModel,
              List.of(),
              null));
    }
    synchronized (lock()) {
      served = nodes;
      dispatcher.setUpstreams(nodes);
      paces.setHeads(nodes, System.nanoTime());
    }
  }

  /** Node n0 leaves: it is listed no more for new requests, and goes on with those that run. */
  void leaveFirst() {
    synchronized (lock()) {
      dispatcher.setUpstreams(served.subList(1, served.size()));
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

  /** Admits requests to engines by predicted times, with a pace for all heads. */
  AdmissionControl admitByForecast(double pace) {
    return admitByForecast(node -> pace);
  }

  /** Admits requests to engines by predicted times and urgency, with the given paces of heads. */
  AdmissionControl admitByForecast(PaceView view) {
    return admit(view, true);
  }

  /** Admits requests to engines by predicted times alone. */
  AdmissionControl admitWhateverTheUrgency() {
    return admit(node -> 1, false);
  }

  private AdmissionControl admit(PaceView view, boolean byUrgency) {
    synchronized (lock()) {
      AdmissionControl control = new AdmissionControl(dispatcher, view, byUrgency, metrics);
      gateway.setAdmission(control);
      return control;
    }
  }

  SimpleMeterRegistry registry() {
    return registry;
  }

  /** Sends a caller's request to a path and waits for the response. */
  HttpResponse<String> send(String path) throws Exception {
    return send(path, "");
  }

  /** Sends a caller's request for a model, empty for none, and waits for the response. */
  HttpResponse<String> send(String path, String model) throws Exception {
    return java.net.http.HttpClient.newHttpClient()
        .send(request(path, model).build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Sends a request of a caller that waits for the given time, without waiting for it. */
  CompletableFuture<HttpResponse<String>> sendLater(String path, String model, int waitMillis) {
    HttpRequest request = request(path, model).header("T-Left", "" + waitMillis).build();
    return java.net.http.HttpClient.newHttpClient()
        .sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder request(String path, String model) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + path))
            .header("T-Id", "r")
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString("body"));
    return model.isEmpty() ? builder : builder.header("T-Model", model);
  }

  @Override
  public void close() {
    timers.stop();
    reactor.stop();
  }
}
