package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.fawnvale.adapter.UsersPlatform;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.EarlyListener;
import org.fawnvale.serving.daemon.ServingDaemon;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;

/**
 * Three daemons of two data centres in the test process, a stand-in of the users' platform with
 * four model workers in each data centre, and a caller.
 */
final class EdgeFleet implements AutoCloseable {

  private static final Duration BOUND = Duration.ofSeconds(60);

  /** A daemon listens next to its peers' port as well. */
  private static final int PORTS_A_DAEMON = 10;

  private static final PortRange PORTS = PortRange.claim();

  private final List<ServingDaemon> daemons = new ArrayList<>();
  private final List<Settings> settings = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final UsersPlatformStandIn platform;

  private final int evacuationMillis;

  private EdgeFleet(UsersPlatformStandIn platform, int evacuationMillis) {
    this.platform = platform;
    this.evacuationMillis = evacuationMillis;
  }

  /** Starts a platform without evacuations, its workers and the daemons. */
  static EdgeFleet start() throws IOException {
    return start(0);
  }

  /**
   * Starts the platform, its workers and the daemons.
   *
   * @param evacuationMillis the bound on evacuations; 0 when the platform has none
   */
  static EdgeFleet start(int evacuationMillis) throws IOException {
    EdgeFleet fleet = new EdgeFleet(UsersPlatformStandIn.start(), evacuationMillis);
    for (int index = 0; index < 4; index++) {
      fleet.platform.addWorker("i-a" + index, "a");
      fleet.platform.addWorker("i-b" + index, "b");
    }
    int peerPort = freePort("127.0.0.1");
    fleet.addDaemon("edge-a-1", "127.0.0.1", "a", peerPort);
    fleet.addDaemon("edge-a-2", "127.0.0.2", "a", peerPort);
    fleet.addDaemon("edge-b-1", "127.0.0.3", "b", peerPort);
    return fleet;
  }

  /** Stops everything and checks that the workers observed no violated invariant. */
  @Override
  public void close() {
    platform.close();
    daemons.parallelStream().forEach(ServingDaemon::stop);
    assertThat(platform.violations()).isEmpty();
  }

  UsersPlatformStandIn platform() {
    return platform;
  }

  /** Returns the number of daemons. */
  int size() {
    return daemons.size();
  }

  private void addDaemon(String name, String address, String dataCentre, int peerPort)
      throws IOException {
    Settings one =
        new Settings(
            name,
            address,
            dataCentre,
            new Endpoint(address, freePort(address)),
            new Endpoint(address, freePort(address)),
            new Endpoint(address, freePort(address)),
            peerPort,
            List.of("127.0.0.1"),
            new Endpoint("127.0.0.1", platform.storePort()),
            new Settings.Bounds(
                4_000, 2_000, 0.2, 100, 10_000, 5_000, 2_000, evacuationMillis, 2_000),
            Settings.CallerBuffers.DEFAULT,
            Settings.Waiting.OFF,
            Policy.DEFAULT,
            true);
    settings.add(one);
    daemons.add(ServingDaemon.start(one, new UsersPlatform(), EarlyListener.open(one.frontend())));
  }

  /** Stops all daemons at once and starts them again, which discards their in-memory state. */
  void restartAllDaemons() throws IOException {
    daemons.parallelStream().forEach(ServingDaemon::stop);
    daemons.clear();
    for (Settings one : settings) {
      Settings again =
          new Settings(
              one.name(),
              one.address(),
              one.dataCentre(),
              one.frontend(),
              one.ready(),
              one.metrics(),
              one.peerPort(),
              one.seedHosts(),
              one.store(),
              one.bounds(),
              one.callerBuffers(),
              one.waiting(),
              one.policy(),
              false);
      daemons.add(
          ServingDaemon.start(again, new UsersPlatform(), EarlyListener.open(again.frontend())));
    }
  }

  private static int freePort(String address) throws IOException {
    return PORTS.next(address, PORTS_A_DAEMON);
  }

  private HttpRequest request(int daemon, String path, String id, String body) {
    Endpoint frontend = settings.get(daemon).frontend();
    URI address = URI.create("http://" + frontend.host() + ":" + frontend.port() + path);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(address)
            .header("Host", UsersConfiguration.HOST)
            .header("X-Attempt-Id", id)
            .header("X-Deadline-Ms", "20000")
            .header("Authorization", "Bearer " + UsersConfiguration.KEY)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (!path.startsWith(UsersConfiguration.SAFE_PATH)) {
      request.header("X-Model", UsersConfiguration.MODEL);
    }
    return request.build();
  }

  HttpResponse<String> send(int daemon, String path, String id) throws Exception {
    return client.send(request(daemon, path, id, "prompt"), HttpResponse.BodyHandlers.ofString());
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + BOUND.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("waited for too long").isLessThan(until);
      Thread.sleep(20);
    }
  }

  int statusOf(int daemon, String path, String id) {
    return statusOf(daemon, path, id, "prompt");
  }

  void awaitServing() throws InterruptedException {
    await(() -> platform.openGroups().size() == 4);
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      int asked = daemon;
      await(() -> statusOf(asked, "/chat/x", "warm-up") == 200);
    }
  }

  /** Waits until the metrics of each daemon contain a line. */
  void awaitFigure(String line) throws InterruptedException {
    for (Settings one : settings) {
      await(() -> figures(one.metrics()).contains(line));
    }
  }

  private String figures(Endpoint metrics) {
    URI address = URI.create("http://" + metrics.host() + ":" + metrics.port() + "/metrics");
    try {
      return client
          .send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString())
          .body();
    } catch (Exception e) {
      return "";
    }
  }

  /** Returns the status of the response to a request with a body; 0 if there is none. */
  int statusOf(int daemon, String path, String id, String requestBody) {
    try {
      return client
          .send(request(daemon, path, id, requestBody), HttpResponse.BodyHandlers.ofString())
          .statusCode();
    } catch (Exception e) {
      return 0;
    }
  }
}
