package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.model.Workspace;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers that return after a refusal wait at a real gateway whose only upstream is full. */
class WaitingCallersTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";

  /** Twice the slots: full for returning callers too. */
  private static final int FULL = 20;

  private static final int FIRST = 4;

  private static final String URGENT_KEY = "urgent-key";

  private RunningGateway running;
  private ScriptedUpstream upstream;

  /** Sends first attempts on both routes, so that a shorter deadline tells a returning caller. */
  @BeforeEach
  void start() throws Exception {
    running = new RunningGateway();
    Configuration ranked = GatewayTest.rankedConfiguration();
    running.makeFleetKnown(
        new Configuration(
            ranked.version(),
            ranked.routes(),
            ranked.services(),
            Map.of("secret", new Workspace("garden", 1), URGENT_KEY, new Workspace("urgent", 0)),
            ranked.maxHeaderBytes(),
            ranked.maxBodyBytes(),
            ranked.idleMillis()));
    List<String> answers = new ArrayList<>(Collections.nCopies(2 * FIRST + 1, OK));
    answers.add(ScriptedUpstream.NO_RESPONSE);
    upstream = new ScriptedUpstream(answers.toArray(String[]::new));
    running.serve(List.of(upstream), "m");
    for (int request = 0; request < FIRST; request++) {
      running.send("/safe/", "m");
      running.send("/unsafe/", "m");
    }
    setInFlight(FULL);
  }

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    running.close();
  }

  private void setInFlight(int requests) {
    synchronized (running.lock()) {
      running.dispatcher().setPeersInFlight(Map.of("n0", requests));
    }
  }

  private void letWait(int millis) {
    synchronized (running.lock()) {
      running.gateway().setWaiting(new Settings.Waiting(5, millis));
    }
  }

  private CompletableFuture<HttpResponse<String>> sendReturning(String path) {
    return running.sendLater(path, "m", 30_000);
  }

  private static void writeReturning(Socket socket, String key) throws IOException {
    String head =
        "POST /safe/ HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nT-Model: m\r\nT-Left: 30000\r\n"
            + "Authorization: Key "
            + key
            + "\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
  }

  private void awaitMetric(String name, double value, String... tags) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (running.metric(name, tags) != value) {
      assertThat(System.nanoTime() - end).as(name).isNegative();
      Thread.sleep(1);
    }
  }

  private double ended(String outcome) {
    return running.metric("fawnvale.waiting.ended", "outcome", outcome);
  }

  @Test
  void waitingRequestIsServedWhenAPlaceIsFree() throws Exception {
    letWait(5_000);
    CompletableFuture<HttpResponse<String>> answer = sendReturning("/safe/");
    awaitMetric("fawnvale.waiting.requests", 1);
    setInFlight(0);
    assertThat(answer.get().statusCode()).isEqualTo(200);
    assertThat(ended("served")).isEqualTo(1);
    assertThat(running.registry().get("fawnvale.waiting.time").timer().count()).isEqualTo(1);
  }

  /** Guards against a request that overtakes one that goes first; both are equally urgent. */
  @Test
  void requestWithLessTimeLeftIsServedFirst() throws Exception {
    letWait(5_000);
    sendReturning("/unsafe/");
    awaitMetric("fawnvale.waiting.requests", 1);
    running.sendLater("/safe/", "m", 20_000);
    awaitMetric("fawnvale.waiting.requests", 2);
    setInFlight(FULL - 1);
    awaitMetric("fawnvale.waiting.requests", 0);
    assertThat(upstream.requests().get(2 * FIRST).get("")).contains("/safe/");
  }

  @Test
  void requestIsRefusedAsNotRunAfterItsWait() throws Exception {
    letWait(60);
    HttpResponse<String> answer = sendReturning("/safe/").get();
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(ended("expired")).isEqualTo(1);
    assertThat(upstream.requests()).hasSize(2 * FIRST);
  }

  @Test
  void stoppingDaemonRefusesAllAtOnce() throws Exception {
    letWait(5_000);
    CompletableFuture<HttpResponse<String>> answer = sendReturning("/safe/");
    awaitMetric("fawnvale.waiting.requests", 1);
    synchronized (running.lock()) {
      running.gateway().drain();
    }
    assertThat(answer.get().statusCode()).isEqualTo(503);
    assertThat(ended("refused")).isEqualTo(1);
    assertThat(sendReturning("/safe/").get().statusCode()).isEqualTo(503);
    assertThat(ended("refused")).isEqualTo(1);
  }

  @Test
  void requestOfACallerThatLeavesIsRemoved() throws Exception {
    letWait(5_000);
    try (Socket socket = new Socket("127.0.0.1", running.port())) {
      writeReturning(socket, "secret");
      awaitMetric("fawnvale.waiting.requests", 1);
    }
    awaitMetric("fawnvale.waiting.requests", 0);
    assertThat(ended("left")).isEqualTo(1);
  }

  /** Guards against requests that are never offered an upstream again after an error in a tick. */
  @Test
  void errorInATickDoesNotEndTheTicks() throws Exception {
    letWait(5_000);
    CompletableFuture<HttpResponse<String>> answer = sendReturning("/safe/");
    awaitMetric("fawnvale.waiting.requests", 1);
    CountDownLatch failed = new CountDownLatch(1);
    synchronized (running.lock()) {
      running
          .dispatcher()
          .setConnected(
              endpoint -> {
                if (failed.getCount() > 0) {
                  failed.countDown();
                  throw new IllegalStateException("in a tick");
                }
                return true;
              });
      running.dispatcher().setPeersInFlight(Map.of("n0", 0));
    }
    assertThat(failed.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(answer.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
  }

  /** Guards against refusals that count as made by urgency although that switch is off. */
  @Test
  void moreUrgentRequestTakesThePlaceOfAnother() throws Exception {
    running.admitWhateverTheUrgency();
    synchronized (running.lock()) {
      running.gateway().setWaiting(new Settings.Waiting(1, 5_000));
    }
    CompletableFuture<HttpResponse<String>> displaced = sendReturning("/safe/");
    awaitMetric("fawnvale.waiting.requests", 1);
    try (Socket socket = new Socket("127.0.0.1", running.port())) {
      writeReturning(socket, URGENT_KEY);
      assertThat(displaced.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(503);
      assertThat(running.metric("fawnvale.waiting.requests")).isEqualTo(1);
    }
    assertThat(ended("refused")).isEqualTo(1);
    assertThat(running.metric("fawnvale.admission.refused", "reason", "other")).isEqualTo(1);
  }

  /** Guards against a request that runs and is refused: its first rejection may come twice. */
  @Test
  void rejectionBeforeTheWaitIsNotTakenForTheSecondSendingToTheSameUpstream() throws Exception {
    String rejection =
        "HTTP/1.1 503 Busy\r\nT-Id: <id>\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    AtomicReference<ScriptedUpstream> rejecting = new AtomicReference<>();
    Function<Map<String, String>, String> script =
        head -> {
          boolean first = rejecting.get().requests().size() == 1;
          boolean sameConnection = rejecting.get().connections() == 1;
          return first ? rejection : (sameConnection ? rejection : "") + OK;
        };
    rejecting.set(new ScriptedUpstream(script::apply));
    running.serve(List.of(rejecting.get()), "m");
    setInFlight(0);
    letWait(5_000);
    assertThat(sendReturning("/unsafe/").get().statusCode()).isEqualTo(200);
    assertThat(rejecting.get().requests()).hasSize(2);
    rejecting.get().close();
  }

  /** Guards against a queue that the settings do not turn on, and against first attempts in it. */
  @Test
  void othersAreRefusedAtOnce() throws Exception {
    assertThat(sendReturning("/safe/").get().statusCode()).isEqualTo(503);
    assertThat(running.registry().find("fawnvale.waiting.requests").gauge()).isNull();
    letWait(5_000);
    assertThat(running.send("/safe/", "m").statusCode()).isEqualTo(503);
    assertThat(running.registry().find("fawnvale.waiting.ended").counter()).isNull();
  }
}
