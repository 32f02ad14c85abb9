package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.fawnvale.adapter.UsersPlatform;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.EarlyListener;
import org.fawnvale.serving.daemon.ServingDaemon;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Three daemons of two data centres before a stand-in of the users' platform, through the real
 * adapter: groups form, requests are answered, and losses are borne.
 */
class UsersPlatformTest {

  private static final Duration BOUND = Duration.ofSeconds(60);
  private static final int LAST_PORT = 32_000;

  /** A daemon listens next to its peers' port as well. */
  private static final int PORTS_A_DAEMON = 10;

  private static final AtomicInteger NEXT_PORT = new AtomicInteger(21_000);
  private static final String WHOLE_ANSWER_END = "id: 12\ndata: 12\n\n";

  private final List<ServingDaemon> daemons = new ArrayList<>();
  private final List<Settings> settings = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private UsersPlatformStandIn platform;

  @BeforeEach
  void start() throws IOException {
    platform = UsersPlatformStandIn.start();
    for (int index = 0; index < 4; index++) {
      platform.addWorker("i-a" + index, "a");
      platform.addWorker("i-b" + index, "b");
    }
    int peerPort = freePort("127.0.0.1");
    addDaemon("edge-a-1", "127.0.0.1", "a", peerPort);
    addDaemon("edge-a-2", "127.0.0.2", "a", peerPort);
    addDaemon("edge-b-1", "127.0.0.3", "b", peerPort);
  }

  @AfterEach
  void stop() {
    platform.close();
    daemons.parallelStream().forEach(ServingDaemon::stop);
    assertThat(platform.violations()).isEmpty();
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
            new Settings.Bounds(4_000, 2_000, 0.2, 100, 10_000, 5_000, 2_000),
            Policy.DEFAULT,
            true);
    settings.add(one);
    daemons.add(ServingDaemon.start(one, new UsersPlatform(), EarlyListener.open(one.frontend())));
  }

  /** Ends all daemons at once and starts them again: nothing that they knew is left. */
  private void startAllAgain() throws IOException {
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
              one.policy(),
              false);
      daemons.add(
          ServingDaemon.start(again, new UsersPlatform(), EarlyListener.open(again.frontend())));
    }
  }

  /**
   * A port below those that the system gives to outgoing connections: one of these may be taken
   * between the look and the daemon's start.
   */
  private static int freePort(String address) throws IOException {
    while (true) {
      int port = NEXT_PORT.getAndAdd(PORTS_A_DAEMON);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        assertThat(port).as("no port is free").isLessThan(LAST_PORT);
      }
    }
  }

  private HttpRequest request(int daemon, String path, String id) {
    return request(daemon, path, id, "prompt");
  }

  private HttpRequest request(int daemon, String path, String id, String body) {
    Endpoint frontend = settings.get(daemon).frontend();
    return HttpRequest.newBuilder(
            URI.create("http://" + frontend.host() + ":" + frontend.port() + path))
        .header("Host", UsersConfiguration.HOST)
        .header("X-Attempt-Id", id)
        .header("X-Model", UsersConfiguration.MODEL)
        .header("X-Deadline-Ms", "20000")
        .header("Authorization", "Bearer " + UsersConfiguration.KEY)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private HttpResponse<String> send(int daemon, String path, String id) throws Exception {
    return client.send(request(daemon, path, id), HttpResponse.BodyHandlers.ofString());
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + BOUND.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("waited for too long").isLessThan(until);
      Thread.sleep(20);
    }
  }

  private int statusOf(int daemon, String path, String id) {
    try {
      return send(daemon, path, id).statusCode();
    } catch (Exception e) {
      return 0;
    }
  }

  private void awaitServing() throws InterruptedException {
    await(() -> platform.openGroups().size() == 4);
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      int asked = daemon;
      await(() -> statusOf(asked, "/chat/x", "warm-up") == 200);
    }
  }

  @Test
  void everyDaemonServesThoughOneOfEachDataCentreWatchesTheWorkers() throws Exception {
    awaitServing();
    await(() -> platform.watchersOfWorkers() <= 2);
    platform.addWorker("i-b4", "b");
    platform.addWorker("i-b5", "b");
    await(() -> platform.openGroups().size() == 5);
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      HttpResponse<String> answer = send(daemon, "/chat/x", "r" + daemon);
      assertThat(answer.body()).startsWith("id: 1\n").endsWith(WHOLE_ANSWER_END);
      assertThat(answer.headers().firstValue("X-Attempt-Id")).contains("r" + daemon);
    }
  }

  @Test
  void aNewConfigurationIsInForceAtEveryDaemon() throws Exception {
    awaitServing();
    platform.configure(5, "/talk/");
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      int asked = daemon;
      await(() -> statusOf(asked, "/talk/x", "new") == 200);
      assertThat(statusOf(daemon, "/chat/x", "old")).isEqualTo(404);
    }
  }

  @Test
  void connectionsToTheStoreThatGoSilentKeepNoConfigurationFromComing() throws Exception {
    awaitServing();
    platform.silenceWaitingCalls();
    platform.configure(5, "/talk/");
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      int asked = daemon;
      await(() -> statusOf(asked, "/talk/x", "silent") == 200);
    }
    assertThat(platform.shortestConfigurationWaitMillis()).isLessThanOrEqualTo(2_500);
  }

  @Test
  void aStreamWhoseGroupLosesAMemberGoesOnAtAnotherGroup() throws Exception {
    awaitServing();
    platform.loseAMemberDuring("lossy");
    HttpResponse<String> answer = send(0, "/chat/x", "lossy");
    assertThat(answer.body()).startsWith("id: 1\n").endsWith(WHOLE_ANSWER_END);
    assertThat(answer.body().split("\n\n")).hasSize(12);
    assertThat(platform.beganAt("lossy")).hasSizeGreaterThan(1);
  }

  @Test
  void afterAnOutageOfTheStoreOnlyWhatChangedIsAskedFor() throws Exception {
    awaitServing();
    int pages = platform.pagesOfWorkers();
    platform.storeDown(true);
    await(() -> platform.watchersOfWorkers() == 0);
    platform.storeDown(false);
    platform.configure(2, "/after/");
    await(() -> statusOf(0, "/after/x", "after") == 200);
    await(() -> platform.watchersOfWorkers() > 0);
    assertThat(platform.pagesOfWorkers()).isEqualTo(pages);
  }

  @Test
  void serviceGoesOnWhileTheStoreIsDownAndANewConfigurationArrivesAfterwards() throws Exception {
    awaitServing();
    platform.storeDown(true);
    assertThat(statusOf(1, "/chat/x", "r1")).isEqualTo(200);
    assertThat(statusOf(2, "/chat/x", "r2")).isEqualTo(200);
    platform.storeDown(false);
    platform.configure(9, "/later/");
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      int asked = daemon;
      await(() -> statusOf(asked, "/later/x", "later") == 200);
    }
  }

  /**
   * A request ends each worker that begins to run it, and its caller asks all daemons again and
   * again. Three workers end, one of them may twice: they start again under their ids. Then no
   * daemon sends it on, nor does any after all daemons have lost what they knew.
   */
  @Test
  void aRequestThatEndsWorkersIsSentToNoneMoreByAnyDaemonEvenAfterAllStartedAgain()
      throws Exception {
    awaitServing();
    platform.endWith("deadly");
    for (int attempt = 0; attempt < 30 && platform.endedWorkers().size() < 3; attempt++) {
      statusOfDeadly(attempt % daemons.size(), "r" + attempt);
    }
    await(() -> !platform.keptRequests().isEmpty());
    awaitKnownEverywhere();
    int ended = platform.endedWorkers().size();
    assertThat(ended).isLessThanOrEqualTo(4);
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      assertThat(statusOfDeadly(daemon, "again" + daemon)).isEqualTo(503);
    }
    startAllAgain();
    awaitServing();
    awaitKnownEverywhere();
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      assertThat(statusOfDeadly(daemon, "after" + daemon)).isEqualTo(503);
    }
    assertThat(platform.endedWorkers()).hasSize(ended);
  }

  private void awaitKnownEverywhere() throws InterruptedException {
    for (Settings one : settings) {
      await(() -> figures(one.metrics()).contains("fawnvale_quarantine_barred 1.0"));
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

  private int statusOfDeadly(int daemon, String id) {
    try {
      return client
          .send(request(daemon, "/chat/x", id, "deadly"), HttpResponse.BodyHandlers.ofString())
          .statusCode();
    } catch (Exception e) {
      return 0;
    }
  }
}
