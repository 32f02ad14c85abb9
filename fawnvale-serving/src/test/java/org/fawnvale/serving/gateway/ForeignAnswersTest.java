package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an upstream's answer to one request that counts for the next one. */
class ForeignAnswersTest {

  private static final String REJECTION =
      "HTTP/1.1 503 Busy\r\nT-Id: <id>\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n"
          + ScriptedUpstream.EVENTS
          + "0\r\n\r\n";
  private static final String ALL_EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
  private static final String EARLIER = "earlier";

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway running;

  @BeforeEach
  void start() throws Exception {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws Exception {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  private ScriptedUpstream serve(Function<Map<String, String>, String> script) throws Exception {
    ScriptedUpstream upstream = new ScriptedUpstream(script::apply);
    upstreams.add(upstream);
    running.serve(upstreams, "");
    return upstream;
  }

  /** Serves with an upstream that precedes the answer to the second request by another one. */
  private ScriptedUpstream serveWithAnswerTooMany(String tooMany, String own) throws Exception {
    return serve(head -> "second".equals(head.get("t-id")) ? tooMany + own : OK);
  }

  private static String ofEarlier(String answer) {
    return answer.replace(ScriptedUpstream.ID, EARLIER);
  }

  private HttpResponse<String> send(String path, String id) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + running.port() + path))
            .header("T-Id", id)
            .header("T-Left", "20000")
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void rejectionOfAnEarlierRequestIsNotTakenForTheNextUnsafeRequest() throws Exception {
    AtomicReference<String> before = new AtomicReference<>("");
    ScriptedUpstream upstream =
        serve(
            head -> {
              String tooMany = before.getAndSet("");
              if ("first".equals(head.get("t-id"))) {
                before.set(REJECTION.replace(ScriptedUpstream.ID, "first"));
                return REJECTION;
              }
              return tooMany + OK;
            });
    assertThat(send("/unsafe/", "first").statusCode()).isEqualTo(503);
    assertThat(send("/unsafe/", "second").statusCode()).isEqualTo(200);
    assertThat(upstream.requests()).hasSize(2);
  }

  @ParameterizedTest
  @CsvSource({
    "/unsafe/,200", "/unsafe/,302", "/unsafe/,400", "/unsafe/,408", "/unsafe/,421", "/unsafe/,429",
    "/unsafe/,500", "/unsafe/,503", "/unsafe/,504", "/safe/,200", "/safe/,400", "/safe/,500",
    "/safe/,503", "/stream/,200", "/stream/,302", "/stream/,400", "/stream/,500", "/stream/,503"
  })
  void answerToAnEarlierRequestIsPassedOverWhateverItsStatus(String path, int status)
      throws Exception {
    String tooMany =
        "HTTP/1.1 %d Some\r\nT-Id: %s\r\nT-Signed: s\r\nContent-Length: 7\r\n\r\nforeign"
            .formatted(status, EARLIER);
    String own = "/stream/".equals(path) ? STREAM : OK;
    ScriptedUpstream upstream = serveWithAnswerTooMany(tooMany, own);
    send("/unsafe/", "first");
    HttpResponse<String> answer = send(path, "second");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("/stream/".equals(path) ? ALL_EVENTS : "ok");
    assertThat(upstream.requests()).hasSize(2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/", "/safe/", "/stream/"})
  void streamOfAnEarlierRequestIsPassedOver(String path) throws Exception {
    boolean stream = "/stream/".equals(path);
    ScriptedUpstream upstream = serveWithAnswerTooMany(ofEarlier(STREAM), stream ? STREAM : OK);
    send("/unsafe/", "first");
    assertThat(send(path, "second").body()).isEqualTo(stream ? ALL_EVENTS : "ok");
    assertThat(upstream.requests()).hasSize(2);
  }

  /** Guards against requests that are each given the answer of the one before. */
  @Test
  void requestsAfterAnAnswerTooManyGetTheirOwnAnswers() throws Exception {
    serveWithAnswerTooMany(ofEarlier(OK), OK);
    for (String id : List.of("first", "second", "third", "fourth")) {
      HttpResponse<String> answer = send("/unsafe/", id);
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.headers().firstValue("T-Id")).contains(id);
    }
  }

  @Test
  void connectionThatHasBroughtAnAnswerTooManyCarriesNothingFurther() throws Exception {
    ScriptedUpstream upstream = serveWithAnswerTooMany(ofEarlier(OK), OK);
    send("/unsafe/", "first");
    send("/unsafe/", "second");
    assertThat(upstream.connections()).isEqualTo(1);
    send("/unsafe/", "third");
    assertThat(upstream.connections()).isEqualTo(2);
  }

  /** The other side: new connections are priced, so one is not closed for each rejection. */
  @Test
  void connectionIsKeptAfterASoundRejection() throws Exception {
    ScriptedUpstream upstream = serve(head -> "second".equals(head.get("t-id")) ? REJECTION : OK);
    for (String id : List.of("first", "second", "third")) {
      send("/unsafe/", id);
    }
    assertThat(upstream.requests()).hasSize(3);
    assertThat(upstream.connections()).isEqualTo(1);
  }

  /** Bytes that follow an answer belong to no request, so the next answer can't be read there. */
  @Test
  void connectionThatBringsBytesBehindAnAnswerCarriesNothingFurther() throws Exception {
    ScriptedUpstream upstream =
        serve(head -> "first".equals(head.get("t-id")) ? OK + "HTTP/1.1 2" : OK);
    assertThat(send("/unsafe/", "first").statusCode()).isEqualTo(200);
    assertThat(send("/unsafe/", "second").statusCode()).isEqualTo(200);
    assertThat(upstream.connections()).isEqualTo(2);
  }

  /** Guards against a node that is spared because of what it said before. */
  @Test
  void restAndDepartureInAnAnswerToAnEarlierRequestAreNotRecorded() throws Exception {
    String tooMany =
        ofEarlier(REJECTION)
            .replace("T-Not-Run: 1", "T-Not-Run: 1\r\nT-Rest-Ms: 60000\r\nT-Leaving: 1");
    serveWithAnswerTooMany(tooMany, OK);
    for (String id : List.of("first", "second", "third")) {
      assertThat(send("/unsafe/", id).statusCode()).isEqualTo(200);
    }
  }

  /** Guards against an unsafe request whose own answer is thrown away. */
  @Test
  void unsafeRequestWaitsForItsAnswerBehindOneThatNamesNoRequest() throws Exception {
    serveWithAnswerTooMany("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", OK);
    send("/unsafe/", "first");
    assertThat(send("/unsafe/", "second").statusCode()).isEqualTo(200);
  }

  /** Guards against a safe request that waits in vain behind a spoilt answer. */
  @Test
  void safeRequestIsServedElsewhereAfterAnAnswerThatNamesNoRequest() throws Exception {
    serve(head -> "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    serve(head -> OK);
    for (int number = 0; number < 4; number++) {
      assertThat(send("/safe/", "r" + number).body()).isEqualTo("ok");
    }
    assertThat(upstreams.get(0).requests()).isNotEmpty();
  }

  /** Guards against an acknowledgement that nobody gave: the answer to the order before it. */
  @Test
  void answerToAnEarlierOrderIsNotTakenForTheNextOne() throws Exception {
    String begun = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    String conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    AtomicReference<ScriptedUpstream> upstream = new AtomicReference<>();
    upstream.set(
        serve(
            head -> {
              boolean first = upstream.get().requests().size() == 1;
              boolean sameConnection = upstream.get().connections() == 1;
              return first ? begun : (sameConnection ? begun : "") + conflict;
            }));
    assertThat(statusOfOrder()).isEqualTo(202);
    assertThat(statusOfOrder()).isEqualTo(409);
  }

  private int statusOfOrder() throws Exception {
    return ((BufferedCall.Answered) running.call(Call.get("/order")).get()).status();
  }

  @Test
  void endlessAnswersToAnEarlierRequestAreBrokenOffAtABound() throws Exception {
    String endless =
        "HTTP/1.1 200 OK\r\nT-Id: earlier\r\nContent-Length: 20000000\r\n\r\n"
            + "x".repeat(20_000_000);
    serveWithAnswerTooMany(endless, OK);
    send("/unsafe/", "first");
    assertThat(send("/unsafe/", "second").statusCode()).isEqualTo(502);
  }

  @Test
  void foreignAnswerHasALineWithBothRequestsAndTheConnection() throws Exception {
    try (CapturedLog log = new CapturedLog("gateway")) {
      serveWithAnswerTooMany(ofEarlier(REJECTION), OK);
      send("/unsafe/", "first");
      send("/unsafe/", "second");
      assertThat(log.await("answer_passed_over").text())
          .contains("request=second", "node=n0", "use=2", "named=earlier", "status=503");
    }
    assertThat(running.metric("fawnvale.answers.foreign", "status", "503")).isEqualTo(1);
  }
}
