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
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Workspace;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests over loopback through a real gateway to scripted upstreams. */
class GatewayTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String NOT_RUN =
      "HTTP/1.1 503 Full\r\nT-Id: <id>\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: first\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final EngineSpec ENGINE =
      new EngineSpec(
          10,
          1_000,
          1,
          100,
          List.of(new ModelSpec("m", 2, 1.0, 1.0, 1_000, 100)),
          5.0,
          0.1,
          0.1,
          1_000,
          0.0,
          1.0,
          1,
          100,
          new RequestSize(10, 10));
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway running;
  private Gateway gateway;
  private Dispatcher dispatcher;
  private String model = "";
  private int port;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
    gateway = running.gateway();
    dispatcher = running.dispatcher();
    port = running.port();
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  static Configuration configuration() {
    return configuration(1);
  }

  /** A configuration whose routes differ in priority. */
  static Configuration rankedConfiguration() {
    return configuration(0);
  }

  private static Configuration configuration(int firstPriority) {
    List<Route> routes =
        List.of(
            route("safe", "/safe/", RouteKind.IDEMPOTENT, firstPriority),
            route("unsafe", "/unsafe/", RouteKind.NON_IDEMPOTENT, 1),
            route("stream", "/stream/", RouteKind.STREAMING, 1));
    return new Configuration(
        1,
        routes,
        Map.of("s", new ServiceSpec("s", 100, ENGINE)),
        Map.of("secret", new Workspace("garden", 1)),
        16_384,
        1_000,
        15_000);
  }

  private static Route route(String name, String prefix, RouteKind kind, int priority) {
    return new Route(
        name,
        "localhost",
        prefix,
        kind,
        60_000,
        500,
        300,
        priority,
        List.of(new Route.Destination("s", 1)),
        2,
        false,
        true);
  }

  private ScriptedUpstream upstream(String... answers) throws IOException {
    ScriptedUpstream upstream = new ScriptedUpstream(answers);
    upstreams.add(upstream);
    running.serve(upstreams, model);
    return upstream;
  }

  private HttpResponse<String> send(String path, String key) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + path))
            .header("T-Id", "r1")
            .header("Authorization", "Key " + key)
            .header("T-Workspace", "forged")
            .header("T-Model", model)
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return java.net.http.HttpClient.newHttpClient()
        .send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  @Test
  void requestIsForwardedWithTheWorkspaceOfItsKey() throws Exception {
    ScriptedUpstream upstream = upstream(OK);
    HttpResponse<String> answer = send("/safe/x?q=1", "secret");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("ok");
    assertThat(answer.headers().firstValue("T-Signed")).contains("s");
    Map<String, String> head = upstream.requests().get(0);
    assertThat(head.get("")).isEqualTo("POST /safe/x?q=1 HTTP/1.1");
    assertThat(head).containsEntry("t-workspace", "garden").containsEntry("t-node", "n0");
    assertThat(head).doesNotContainKey("authorization");
    assertThat(Integer.parseInt(head.get("t-left"))).isBetween(1, 60_000);
  }

  @Test
  void requestsWithoutRouteOrValidKeyAreRefusedAndNotSent() throws Exception {
    ScriptedUpstream upstream = upstream(OK);
    assertThat(send("/none/", "secret").statusCode()).isEqualTo(404);
    assertThat(send("/safe/", "wrong").statusCode()).isEqualTo(401);
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void requestWithoutAnyUpstreamIsRefusedAtOnceWithRetryAfter() throws Exception {
    HttpResponse<String> answer = send("/safe/", "secret");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
  }

  @Test
  void lateRequestDuringShutdownIsRefusedAndNotSent() throws Exception {
    ScriptedUpstream upstream = upstream(OK);
    synchronized (running.lock()) {
      gateway.drain();
      gateway.refuseNew();
    }
    HttpResponse<String> answer = send("/safe/", "secret");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void unsafeRequestThatWasNotRunIsSentToAnotherUpstream() throws Exception {
    upstream(NOT_RUN);
    upstream(OK);
    assertThat(send("/unsafe/", "secret").statusCode()).isEqualTo(200);
  }

  @Test
  void unsafeRequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() throws Exception {
    ScriptedUpstream first = upstream(ScriptedUpstream.RESET);
    ScriptedUpstream second = upstream(ScriptedUpstream.RESET);
    assertThat(send("/unsafe/", "secret").statusCode()).isEqualTo(502);
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  @Test
  void responseWithAnotherIdIsNotForwarded() throws Exception {
    upstream(OK.replace("<id>", "stranger") + ScriptedUpstream.RESET);
    assertThat(send("/unsafe/", "secret").statusCode()).isEqualTo(502);
  }

  /** The own response may follow for as long as the caller waits, and none is made up before. */
  @Test
  void requestToWhichOnlyAResponseWithAnotherIdComesTimesOutAsPerhapsRun() throws Exception {
    upstream(OK.replace("<id>", "stranger"));
    HttpResponse<String> answer = running.sendLater("/unsafe/", "", 300).get();
    assertThat(answer.statusCode()).isEqualTo(504);
  }

  @Test
  void successWithoutSignatureIsNotForwarded() throws Exception {
    upstream(OK.replace("T-Signed: s\r\n", ""));
    assertThat(send("/unsafe/", "secret").statusCode()).isEqualTo(502);
  }

  @Test
  void brokenStreamResumesElsewhereAfterItsLastCompleteEvent() throws Exception {
    upstream(
        STREAM_HEAD
            + chunk("id: 1\ndata: 1\n\n")
            + chunk("id: 2\ndata: ha")
            + ScriptedUpstream.RESET);
    upstream(STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    HttpResponse<String> answer = send("/stream/", "secret");
    assertThat(answer.body()).isEqualTo("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
    assertThat(answer.headers().firstValue("T-Signed")).contains("first");
  }

  @Test
  void brokenStreamWaitsForAnUpstreamThatAppearsSoonAfter() throws Exception {
    upstream(STREAM_HEAD + chunk("id: 1\ndata: 1\n\n") + ScriptedUpstream.RESET);
    CompletableFuture<HttpResponse<String>> answer = sendLater("/stream/");
    awaitState("n0", state -> state.failureShare() > 0);
    upstream(STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    assertThat(answer.get().body()).startsWith("id: 1\n").endsWith("id: 3\ndata: 3\n\n");
  }

  @Test
  void movedStreamThatIsRejectedWaitsForAnUpstream() throws Exception {
    model = "m";
    upstream(STREAM_HEAD + chunk("id: 1\ndata: 1\n\n"));
    CompletableFuture<HttpResponse<String>> answer = sendLater("/stream/");
    awaitState("n0", state -> state.streaming() > 0);
    upstream(NOT_RUN);
    synchronized (running.lock()) {
      dispatcher.state("n0").markSuspect(System.nanoTime());
      gateway.checkStreams(Set.of());
    }
    awaitState("n1", state -> state.inFlight() == 0);
    upstream(STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    synchronized (running.lock()) {
      gateway.checkStreams(Set.of());
    }
    assertThat(answer.get().body()).startsWith("id: 1\n").endsWith("id: 3\ndata: 3\n\n");
  }

  @Test
  void movedRequestThatIsRejectedElsewhereIsNotReportedAsNotRun() throws Exception {
    model = "m";
    ScriptedUpstream first = upstream(ScriptedUpstream.NO_RESPONSE);
    CompletableFuture<HttpResponse<String>> answer = running.sendLater("/stream/", "m", 1_500);
    first.awaitRequest();
    upstream(NOT_RUN);
    synchronized (running.lock()) {
      dispatcher.state("n0").markSuspect(System.nanoTime());
      gateway.checkStreams(Set.of());
    }
    awaitState("n1", state -> state.inFlight() == 0);
    awaitState("n0", state -> state.inFlight() == 1);
    assertThat(answer.get().statusCode()).isEqualTo(504);
  }

  /** Guards against moves from one slow head to another, and streams left behind a slow head. */
  @Test
  void overdueStreamOfASlowHeadMovesToAHeadOfNormalPaceOnly() throws Exception {
    model = "m";
    upstream(STREAM_HEAD + chunk("id: 1\ndata: 1\n\n"));
    CompletableFuture<HttpResponse<String>> answer = sendLater("/stream/");
    awaitState("n0", state -> state.streaming() > 0);
    ScriptedUpstream other = upstream(STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    running.setPaces(Map.of("n0", 12.0, "n1", 4.0));
    Thread.sleep(310);
    checkStreams();
    assertThat(other.requests()).isEmpty();
    running.setPaces(Map.of("n0", 12.0));
    checkStreams();
    assertThat(answer.get().body())
        .isEqualTo("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
    assertThat(other.requests()).hasSize(1);
  }

  private void checkStreams() {
    synchronized (running.lock()) {
      assertThat(dispatcher.state("n0").isSuspect()).isFalse();
      gateway.checkStreams(Set.of());
    }
  }

  @Test
  void brokenStreamWithoutAnotherUpstreamIsNotReportedAsComplete() throws Exception {
    upstream(STREAM_HEAD + chunk("id: 1\ndata: 1\n\n") + ScriptedUpstream.RESET);
    CompletableFuture<Boolean> looksComplete =
        sendLater("/stream/")
            .handle((answer, failure) -> failure == null && answer.statusCode() != 502);
    assertThat(looksComplete.get()).isFalse();
  }

  private CompletableFuture<HttpResponse<String>> sendLater(String path) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return send(path, "secret");
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Waits until the gateway's state of an upstream meets a condition. */
  private void awaitState(String node, Predicate<UpstreamState> condition)
      throws InterruptedException {
    boolean met = false;
    while (!met) {
      Thread.sleep(1);
      synchronized (running.lock()) {
        met = condition.test(dispatcher.state(node));
      }
    }
  }

  private Socket post(String path) throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: localhost\r\nT-Id: r1\r\n"
            + "Authorization: Key secret\r\nContent-Length: 4\r\n\r\nbody";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
    return socket;
  }

  @Test
  void upstreamRequestIsCancelledWhenTheCallerCloses() throws Exception {
    ScriptedUpstream upstream = upstream(ScriptedUpstream.NO_RESPONSE);
    Socket caller = post("/stream/");
    upstream.awaitRequest();
    caller.close();
    assertThat(upstream.awaitDisconnect()).isTrue();
  }

  @Test
  void upstreamRequestIsCancelledWhenTheCallerResets() throws Exception {
    ScriptedUpstream upstream = upstream(ScriptedUpstream.NO_RESPONSE);
    try (Socket caller = post("/stream/")) {
      upstream.awaitRequest();
      caller.setSoLinger(true, 0);
    }
    assertThat(upstream.awaitDisconnect()).isTrue();
  }

  @Test
  void bodyOverTheLimitIsRefused() throws Exception {
    upstream(OK);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + "/safe/"))
            .header("T-Id", "r1")
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString("x".repeat(2_000)))
            .build();
    int status =
        java.net.http.HttpClient.newHttpClient()
            .send(request, HttpResponse.BodyHandlers.ofString())
            .statusCode();
    assertThat(status).isEqualTo(413);
  }
}
