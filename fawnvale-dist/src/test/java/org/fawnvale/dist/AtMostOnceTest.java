package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against running an unsafe request twice, and against reporting "not run" for a request
 * that ran. The services' run counts are the oracle.
 */
class AtMostOnceTest {

  private static final ExecutorService EXECUTOR = Executors.newCachedThreadPool();
  private static final String NOT_RUN = "not-run";
  private static Fleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet = Fleet.start();
  }

  @AfterAll
  static void stop() {
    fleet.close();
    EXECUTOR.shutdownNow();
  }

  @AfterEach
  void heal() throws IOException {
    fleet.local().control("platform", "{\"fault\": \"none\"}");
    for (String dataCentre : List.of(Fleet.NORTH, Fleet.SOUTH)) {
      fleet.local().control("service-" + dataCentre, "{\"fault\": \"none\"}");
    }
  }

  private static void services(String fault) throws IOException {
    fleet.local().control("service-" + Fleet.NORTH, fault);
    fleet.local().control("service-" + Fleet.SOUTH, fault);
  }

  private static String outcome(HttpResponse<String> response) {
    return response.headers().firstValue("Fawnvale-Outcome").orElse("none");
  }

  private static CompletableFuture<HttpResponse<String>> later(String daemon, String key) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return fleet.order(daemon, key);
          } catch (IOException e) {
            return null;
          }
        },
        EXECUTOR);
  }

  @Test
  void concurrentRequestsWithOneKeyRunOnce() throws IOException {
    List<List<CompletableFuture<HttpResponse<String>>>> all = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      List<CompletableFuture<HttpResponse<String>>> same = new ArrayList<>();
      for (String daemon : fleet.local().daemons()) {
        same.add(later(daemon, "race-" + i));
      }
      all.add(same);
    }
    for (int i = 0; i < all.size(); i++) {
      long answered = all.get(i).stream().filter(each -> each.join().statusCode() == 200).count();
      assertThat(answered).as("answers to race-%d", i).isEqualTo(1);
      assertThat(fleet.runs("race-" + i)).isEqualTo(1);
    }
  }

  @Test
  void lostPlatformResponsesCauseNoSecondRun() throws IOException {
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    for (int i = 0; i < 5; i++) {
      String key = "lost-" + i;
      fleet.local().control("platform", "{\"fault\": \"drop-answers\", \"count\": 1}");
      HttpResponse<String> first = fleet.order(daemon, key);
      assertThat(first.statusCode()).isIn(200, 503);
      assertThat(fleet.runs(key)).isEqualTo(first.statusCode() == 200 ? 1 : 0);
      fleet.order(fleet.daemon(Fleet.SOUTH, 1), key);
      assertThat(fleet.runs(key)).isLessThanOrEqualTo(1);
    }
  }

  /** Callers take 503 for the promise that nothing has run, and send the order again. */
  @Test
  void unavailableServiceThatHasRunAnOrderIsNotPassedOnAsAPromise() throws IOException {
    services("{\"fault\": \"promise-falsely\", \"count\": 1}");
    HttpResponse<String> answer = fleet.order(fleet.daemon(Fleet.NORTH, 1), "promised");
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(outcome(answer)).isEqualTo("unknown");
    assertThat(fleet.runs("promised")).isEqualTo(1);
  }

  @Test
  void onlyIssuedKeysRunDuringAPlatformOutage() throws IOException {
    String daemon = fleet.daemon(Fleet.SOUTH, 1);
    String made = madeKey(daemon);
    fleet.local().control("platform", "{\"fault\": \"outage\"}");

    HttpResponse<String> own = fleet.order(daemon, "during-outage");
    assertThat(own.statusCode()).isEqualTo(503);
    assertThat(outcome(own)).isEqualTo(NOT_RUN);
    assertThat(own.headers().firstValue("Retry-After")).isPresent();
    assertThat(fleet.runs("during-outage")).isZero();

    HttpResponse<String> viaOther = fleet.order(fleet.daemon(Fleet.SOUTH, 2), made);
    HttpResponse<String> again = fleet.order(daemon, made);
    assertThat(viaOther.statusCode()).isEqualTo(200);
    assertThat(again.statusCode()).isEqualTo(200);
    assertThat(again.body()).isEqualTo(viaOther.body());
    assertThat(fleet.runs(made)).isEqualTo(1);
  }

  private static String madeKey(String daemon) throws IOException {
    HttpResponse<String> response =
        fleet
            .local()
            .send(
                fleet
                    .request(daemon, "/v1/request-keys")
                    .POST(HttpRequest.BodyPublishers.noBody()));
    return response.body().replaceAll(".*\"key\":\"([^\"]+)\".*", "$1");
  }

  @Test
  void aResponseLostAfterTheRunIsUnknownAndNotRepeated() throws IOException {
    services("{\"fault\": \"drop-answers\", \"count\": 1}");
    HttpResponse<String> first = fleet.order(fleet.daemon(Fleet.NORTH, 1), "dropped");
    assertThat(first.statusCode()).isEqualTo(502);
    assertThat(outcome(first)).isEqualTo("unknown");
    for (String daemon : fleet.local().daemons()) {
      assertThat(fleet.order(daemon, "dropped").statusCode()).isEqualTo(409);
    }
    assertThat(fleet.runs("dropped")).isEqualTo(1);
  }

  @Test
  void aRequestRejectedByAServiceMayBeRepeatedWithTheSameKey() throws IOException {
    services("{\"fault\": \"refuse\", \"count\": 100}");
    HttpResponse<String> refused = fleet.order(fleet.daemon(Fleet.NORTH, 2), "refused");
    assertThat(outcome(refused)).isEqualTo(NOT_RUN);
    assertThat(fleet.runs("refused")).isZero();

    services("{\"fault\": \"none\"}");
    assertThat(fleet.order(fleet.daemon(Fleet.SOUTH, 1), "refused").statusCode()).isEqualTo(200);
    assertThat(fleet.runs("refused")).isEqualTo(1);
  }

  @Test
  void anAnswerToSomebodyElseIsNotPassedOn() throws IOException {
    services("{\"fault\": \"swap\", \"count\": 1}");
    HttpResponse<String> response = fleet.order(fleet.daemon(Fleet.NORTH, 1), "swapped");
    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).doesNotContain("booking");
    assertThat(fleet.runs("swapped")).isEqualTo(1);
  }

  @Test
  void aFrozenDaemonDoesNotRunTheRequestAfterResuming() throws IOException {
    String frozen = fleet.daemon(Fleet.NORTH, 2);
    for (int i = 0; i < 12; i++) {
      String key = "frozen-" + i;
      CompletableFuture<HttpResponse<String>> first = later(frozen, key);
      Fleet.pause(2L * i);
      fleet.signal(frozen, "STOP");
      HttpResponse<String> second = fleet.order(fleet.daemon(Fleet.NORTH, 1), key);
      fleet.signal(frozen, "CONT");
      first.join();
      assertThat(fleet.runs(key)).as(key + " " + second.statusCode()).isEqualTo(1);
    }
  }

  @Test
  void theClaimOfAKilledDaemonPersists() throws IOException {
    String killed = fleet.daemon(Fleet.SOUTH, 2);
    services("{\"fault\": \"late\", \"millis\": 700}");
    CompletableFuture<HttpResponse<String>> first = later(killed, "killed");
    Fleet.pause(300);
    fleet.local().child(killed).kill();
    first.join();
    services("{\"fault\": \"none\"}");
    HttpResponse<String> again = fleet.order(fleet.daemon(Fleet.SOUTH, 1), "killed");
    assertThat(again.statusCode()).isIn(200, 409);
    fleet.local().startDaemon(killed);
    fleet.await("the daemon is back", () -> fleet.order(killed, "killed").statusCode() == 409);
    assertThat(fleet.runs("killed")).isLessThanOrEqualTo(1);
    // The other tests send to all daemons; like a balancer, they may do so once each is ready.
    fleet.await("the daemon is ready", () -> fleet.isReady(killed));
  }
}
