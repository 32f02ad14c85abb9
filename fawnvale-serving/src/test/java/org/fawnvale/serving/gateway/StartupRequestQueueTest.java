package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * All daemons lose power and start together. Callers connect as soon as a daemon listens, a moment
 * before it knows routes and nodes. Each was told that there is no configuration yet, came back
 * within a tenth of a second, was told the same, and was lost.
 */
class StartupRequestQueueTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final int SHORT_MILLIS = 20;

  private RunningGateway running;
  private Gateway gateway;
  private ScriptedUpstream upstream;
  private int port;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    gateway = running.gateway();
    port = running.port();
    upstream = new ScriptedUpstream(OK, OK, OK, OK);
  }

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    running.close();
  }

  private void learnFleet() {
    running.serve(List.of(upstream), "");
    running.knowFleet();
  }

  private CompletableFuture<HttpResponse<String>> send(int number) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + "/safe/"))
            .header("T-Id", "r" + number)
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return java.net.http.HttpClient.newHttpClient()
        .sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private void awaitWaiting(int count) throws InterruptedException {
    while (gateway.waitingForFleet() != count) {
      Thread.onSpinWait();
    }
  }

  @Test
  void requestsThatComeTooEarlyAreAnsweredOnceTheFleetIsKnown() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    for (int number = 0; number < 4; number++) {
      answers.add(send(number));
    }
    awaitWaiting(4);
    assertThat(upstream.requests()).isEmpty();
    learnFleet();
    for (CompletableFuture<HttpResponse<String>> answer : answers) {
      assertThat(answer.get().statusCode()).isEqualTo(200);
    }
  }

  @Test
  void aCallerThatLeftMeanwhileIsNotSentForAnyMore() throws Exception {
    String head = "POST /safe/ HTTP/1.1\r\nHost: localhost\r\nT-Id: gone\r\nT-Left: 9000\r\n";
    try (Socket caller = new Socket("127.0.0.1", port)) {
      String request = head + "Authorization: Key secret\r\nContent-Length: 0\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      awaitWaiting(1);
    }
    CompletableFuture<HttpResponse<String>> next = send(1);
    awaitWaiting(2);
    learnFleet();
    assertThat(next.get().statusCode()).isEqualTo(200);
    assertThat(upstream.requests()).noneMatch(request -> "gone".equals(request.get("t-id")));
  }

  @Test
  void whatWaitsWhenTheDaemonStopsIsRefusedAsNotRun() throws Exception {
    CompletableFuture<HttpResponse<String>> answer = send(1);
    awaitWaiting(1);
    synchronized (running.guard()) {
      gateway.refuseNew();
    }
    assertThat(answer.get().statusCode()).isEqualTo(503);
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void whoWaitsInVainIsToldSo() throws Exception {
    StartupRequestQueue early = new StartupRequestQueue(running.timers(), SHORT_MILLIS);
    CountDownLatch answered = new CountDownLatch(1);
    synchronized (running.guard()) {
      early.run(answered::countDown);
      assertThat(answered.getCount()).isEqualTo(1);
    }
    assertThat(answered.await(60, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void thoseBeyondTheMostThatMayWaitAreAnsweredAtOnce() {
    StartupRequestQueue early = new StartupRequestQueue(running.timers(), 60_000);
    List<Integer> answered = new ArrayList<>();
    synchronized (running.guard()) {
      for (int number = 0; number < StartupRequestQueue.MOST + 2; number++) {
        int asked = number;
        early.run(() -> answered.add(asked));
      }
      assertThat(answered).containsExactly(StartupRequestQueue.MOST, StartupRequestQueue.MOST + 1);
      early.release();
    }
    assertThat(answered).hasSize(StartupRequestQueue.MOST + 2);
  }
}
