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
 * Guards against the loss of requests that arrive after a daemon listens and before it knows routes
 * and nodes.
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

  private void makeFleetKnown() {
    running.serve(List.of(upstream), "");
    running.makeFleetKnown();
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

  private void awaitQueued(int count) throws InterruptedException {
    while (gateway.queuedForFleet() != count) {
      Thread.onSpinWait();
    }
  }

  @Test
  void earlyRequestsAreAnsweredOnceTheFleetIsKnown() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    for (int number = 0; number < 4; number++) {
      answers.add(send(number));
    }
    awaitQueued(4);
    assertThat(upstream.requests()).isEmpty();
    makeFleetKnown();
    for (CompletableFuture<HttpResponse<String>> answer : answers) {
      assertThat(answer.get().statusCode()).isEqualTo(200);
    }
  }

  @Test
  void queuedRequestOfADisconnectedCallerIsNotSent() throws Exception {
    String head = "POST /safe/ HTTP/1.1\r\nHost: localhost\r\nT-Id: gone\r\nT-Left: 9000\r\n";
    try (Socket caller = new Socket("127.0.0.1", port)) {
      String request = head + "Authorization: Key secret\r\nContent-Length: 0\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      awaitQueued(1);
    }
    CompletableFuture<HttpResponse<String>> next = send(1);
    awaitQueued(2);
    makeFleetKnown();
    assertThat(next.get().statusCode()).isEqualTo(200);
    assertThat(upstream.requests()).noneMatch(request -> "gone".equals(request.get("t-id")));
  }

  @Test
  void queuedRequestIsRefusedAsNotRunWhenTheDaemonStops() throws Exception {
    CompletableFuture<HttpResponse<String>> answer = send(1);
    awaitQueued(1);
    synchronized (running.lock()) {
      gateway.refuseNew();
    }
    assertThat(answer.get().statusCode()).isEqualTo(503);
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void queuedRequestRunsAfterTheMaximumWait() throws Exception {
    StartupRequestQueue queue = new StartupRequestQueue(running.timers(), SHORT_MILLIS);
    CountDownLatch answered = new CountDownLatch(1);
    synchronized (running.lock()) {
      queue.run(answered::countDown);
      assertThat(answered.getCount()).isEqualTo(1);
    }
    assertThat(answered.await(60, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void requestsBeyondTheQueueLimitRunAtOnce() {
    StartupRequestQueue queue = new StartupRequestQueue(running.timers(), 60_000);
    List<Integer> answered = new ArrayList<>();
    synchronized (running.lock()) {
      for (int number = 0; number < StartupRequestQueue.MAX_QUEUED + 2; number++) {
        int index = number;
        queue.run(() -> answered.add(index));
      }
      assertThat(answered)
          .containsExactly(StartupRequestQueue.MAX_QUEUED, StartupRequestQueue.MAX_QUEUED + 1);
      queue.release();
    }
    assertThat(answered).hasSize(StartupRequestQueue.MAX_QUEUED + 2);
  }
}
