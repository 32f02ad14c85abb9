package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.http.EndlessServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against upstreams whose answers never end: they take memory and hold their callers. */
class EndlessAnswersTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n"
          + ScriptedUpstream.EVENTS
          + "0\r\n\r\n";
  private static final String ALL_EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
  private static final int REQUESTS = 12;
  private static final int WAIT_MILLIS = 60_000;

  private final List<EndlessServer> endless = new ArrayList<>();
  private final List<ScriptedUpstream> sound = new ArrayList<>();
  private RunningGateway running;

  @BeforeEach
  void start() throws Exception {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws Exception {
    for (EndlessServer server : endless) {
      server.close();
    }
    for (ScriptedUpstream upstream : sound) {
      upstream.close();
    }
    running.close();
  }

  /** Serves with one upstream whose answers never end, and a sound one. */
  private void serve(EndlessServer.Kind kind, String soundAnswer) throws Exception {
    endless.add(new EndlessServer(kind));
    sound.add(
        new ScriptedUpstream(
            Collections.nCopies(REQUESTS * 2, soundAnswer).toArray(String[]::new)));
    running.serveAt(List.of(endless.get(0).port(), sound.get(0).port()), "");
  }

  private List<HttpResponse<String>> sendAll(String path) throws Exception {
    List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
    for (int number = 0; number < REQUESTS; number++) {
      sent.add(running.sendLater(path, "", WAIT_MILLIS));
    }
    List<HttpResponse<String>> answers = new ArrayList<>();
    for (CompletableFuture<HttpResponse<String>> answer : sent) {
      answers.add(answer.get());
    }
    return answers;
  }

  @ParameterizedTest
  @EnumSource
  void plainRequestIsServedElsewhereWhenAnAnswerNeverEnds(EndlessServer.Kind kind)
      throws Exception {
    serve(kind, OK);
    assertThat(sendAll("/safe/x")).allSatisfy(answer -> assertThat(answer.body()).isEqualTo("ok"));
    assertThat(endless.get(0).connections()).isPositive();
    assertThat(endless.get(0).awaitClosed()).isTrue();
    assertThat(running.metric("fawnvale.callers.held.bytes")).isZero();
  }

  @ParameterizedTest
  @EnumSource
  void streamIsServedElsewhereWhenAnAnswerNeverEnds(EndlessServer.Kind kind) throws Exception {
    serve(kind, STREAM);
    assertThat(sendAll("/stream/"))
        .allSatisfy(answer -> assertThat(answer.body()).isEqualTo(ALL_EVENTS));
    assertThat(endless.get(0).connections()).isPositive();
    assertThat(endless.get(0).awaitClosed()).isTrue();
    assertThat(running.metric("fawnvale.callers.held.bytes")).isZero();
  }

  /** Guards against many endless events that fill the memory although each of them is bounded. */
  @Test
  void endlessEventsOfManyStreamsTogetherStayWithinTheBoundOfTheDaemon() throws Exception {
    running.close();
    running = new RunningGateway(new Settings.CallerBuffers(64 << 10, 1 << 20, 5_000));
    running.makeFleetKnown();
    serve(EndlessServer.Kind.EVENT, STREAM);
    List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
    for (int number = 0; number < REQUESTS; number++) {
      sent.add(running.sendLater("/stream/", "", WAIT_MILLIS));
    }
    double most = 0;
    while (!sent.stream().allMatch(CompletableFuture::isDone)) {
      most = Math.max(most, running.metric("fawnvale.callers.held.bytes"));
    }
    assertThat(most).isPositive().isLessThan(1 << 20);
    for (CompletableFuture<HttpResponse<String>> answer : sent) {
      assertThat(answer.get().body()).isEqualTo(ALL_EVENTS);
    }
    assertThat(running.metric("fawnvale.callers.held.bytes")).isZero();
  }

  @Test
  void longStreamOfSmallEventsInSmallChunksIsPassedOnWhole() throws Exception {
    String event = "id: 7\ndata: 0123456789\n\n";
    String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    int events = 100_000;
    String head = STREAM.substring(0, STREAM.indexOf(ScriptedUpstream.EVENTS));
    sound.add(new ScriptedUpstream(head + chunk.repeat(events) + "0\r\n\r\n"));
    running.serve(sound, "");
    assertThat(running.sendLater("/stream/", "", WAIT_MILLIS).get().body())
        .hasSize(event.length() * events);
  }
}
