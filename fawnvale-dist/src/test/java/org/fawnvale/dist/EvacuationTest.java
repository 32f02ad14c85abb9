package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.WorkerObserver;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that reach a data centre after the operator has evacuated it. */
class EvacuationTest {

  private static final int BOUND_MILLIS = 5_000;
  private static final String CHAT_PATH = "/chat/x";

  /** Concurrent streams: as many as two of the four groups have slots. */
  private static final int STREAMS = 8;

  private final AtomicInteger sent = new AtomicInteger();
  private final Map<String, Queue<String>> arrivals = new ConcurrentHashMap<>();
  private EdgeFleet fleet;
  private UsersPlatformStandIn platform;

  private void start(int evacuationMillis) throws Exception {
    fleet = EdgeFleet.start(evacuationMillis);
    platform = fleet.platform();
    platform.observe(
        new WorkerObserver() {
          @Override
          public void arrived(String attempt, String worker) {
            arrivals.computeIfAbsent(worker, id -> new ConcurrentLinkedQueue<>()).add(attempt);
          }
        });
    platform.addPlainWorker("p-a", "a");
    platform.addPlainWorker("p-b", "b");
    fleet.awaitServing();
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private String nextId() {
    return "e" + sent.incrementAndGet();
  }

  private List<String> arrivedIn(String dataCentre) {
    return arrivals.entrySet().stream()
        .filter(entry -> entry.getKey().contains("-" + dataCentre))
        .flatMap(entry -> entry.getValue().stream())
        .toList();
  }

  /** Sends one request of each kind to each daemon and returns the number of successes. */
  private int successesOfOneRound() {
    int successes = 0;
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      for (String path : List.of(CHAT_PATH, UsersConfiguration.SAFE_PATH)) {
        successes += fleet.statusOf(daemon, path, nextId()) == 200 ? 1 : 0;
      }
    }
    return successes;
  }

  private int successesOfManyRounds() {
    int successes = 0;
    for (int round = 0; round < 10; round++) {
      successes += successesOfOneRound();
    }
    return successes;
  }

  private void awaitFigure(int dataCentres) throws InterruptedException {
    fleet.awaitFigure("fawnvale_evacuation_data_centres " + dataCentres + ".0");
  }

  @Test
  void evacuatedDataCentreGetsNoRequestAndServesAgainAfterTheReturn() throws Exception {
    start(BOUND_MILLIS);
    long begun = System.nanoTime();
    platform.evacuate("b", true);
    awaitFigure(1);
    long millis = (System.nanoTime() - begun) / 1_000_000;
    assertThat(millis).isLessThan(BOUND_MILLIS);
    arrivals.clear();
    assertThat(successesOfManyRounds()).isEqualTo(60);
    assertThat(arrivedIn("b")).isEmpty();
    platform.evacuate("b", false);
    awaitFigure(0);
    EdgeFleet.await(
        () -> {
          successesOfOneRound();
          return !arrivedIn("b").isEmpty();
        });
  }

  @Test
  void ifAllDataCentresAreEvacuatedEverythingIsRefusedAtOnceWithARetryAfter() throws Exception {
    start(BOUND_MILLIS);
    platform.evacuate("a", true);
    platform.evacuate("b", true);
    awaitFigure(2);
    arrivals.clear();
    for (String path : List.of(CHAT_PATH, UsersConfiguration.SAFE_PATH)) {
      HttpResponse<String> refused = fleet.send(0, path, nextId());
      assertThat(refused.statusCode()).isEqualTo(503);
      assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    }
    assertThat(arrivals).isEmpty();
  }

  @Test
  void daemonsThatStartDuringAnEvacuationSendNothingThere() throws Exception {
    start(BOUND_MILLIS);
    platform.evacuate("b", true);
    awaitFigure(1);
    arrivals.clear();
    fleet.restartAllDaemons();
    EdgeFleet.await(() -> successesOfOneRound() == 6);
    assertThat(successesOfManyRounds()).isEqualTo(60);
    assertThat(arrivedIn("b")).isEmpty();
  }

  /** All calls that wait for changes fall silent just before the operator's request. */
  @Test
  void evacuationIsInForceWithinTheBoundThoughTheWaitingCallsFellSilent() throws Exception {
    start(BOUND_MILLIS);
    EdgeFleet.await(() -> platform.watchersOfEvacuations() == 2);
    platform.silenceWaitingCalls();
    long begun = System.nanoTime();
    platform.evacuate("b", true);
    awaitFigure(1);
    assertThat((System.nanoTime() - begun) / 1_000_000).isLessThan(BOUND_MILLIS);
  }

  @Test
  void streamsThatRunThereEndByThemselves() throws Exception {
    start(BOUND_MILLIS);
    ExecutorService callers = Executors.newFixedThreadPool(STREAMS);
    try {
      List<Future<HttpResponse<String>>> streams = new ArrayList<>();
      for (int number = 0; number < STREAMS; number++) {
        int daemon = number % fleet.size();
        streams.add(callers.submit(() -> fleet.send(daemon, CHAT_PATH, nextId())));
      }
      EdgeFleet.await(() -> !arrivedIn("b").isEmpty());
      platform.evacuate("b", true);
      for (Future<HttpResponse<String>> stream : streams) {
        assertThat(stream.get().statusCode()).isEqualTo(200);
        assertThat(stream.get().body()).contains("id: " + UsersConfiguration.EVENTS + "\n");
      }
    } finally {
      callers.shutdownNow();
    }
  }

  /** The operator writes the request again, as after any loss of acknowledged writes. */
  @Test
  void evacuationOfALaterEraOfTheStoreApplies() throws Exception {
    start(BOUND_MILLIS);
    long before = platform.copyOfStore();
    platform.evacuate("b", true);
    awaitFigure(1);
    platform.storeGoesBackTo(before);
    awaitFigure(0);
    platform.evacuate("a", true);
    awaitFigure(1);
    arrivals.clear();
    // The nodes of b count as cold for a while after the evacuation that the store has lost.
    EdgeFleet.await(() -> successesOfManyRounds() == 60);
    assertThat(arrivedIn("a")).isEmpty();
  }

  @Test
  void onlyOneDaemonOfEachDataCentreWaitsForEvacuations() throws Exception {
    start(BOUND_MILLIS);
    EdgeFleet.await(() -> platform.watchersOfEvacuations() == 2);
    Thread.sleep(1_000);
    assertThat(platform.watchersOfEvacuations()).isLessThanOrEqualTo(2);
  }

  @Test
  void withoutTheSettingNoCallIsMadeAndNothingChanges() throws Exception {
    start(0);
    platform.evacuate("a", true);
    platform.evacuate("b", true);
    Thread.sleep(1_000);
    assertThat(successesOfManyRounds()).isEqualTo(60);
    assertThat(platform.callsForEvacuations()).isZero();
  }
}
