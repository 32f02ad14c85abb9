package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers that are not served because their daemon reaches no upstream itself. */
class PeerForwardingTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENT = "f\r\nid: 1\ndata: 1\n\n\r\n";
  private static final String ALL_EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
  private static final int WAIT_MILLIS = 20_000;

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway cutOff;
  private RunningGateway peer;

  /** A path whose state the test sets. */
  private static final class ScriptedPath implements UpstreamPath {
    private volatile boolean lost;
    private volatile boolean heardElsewhere;

    @Override
    public boolean isDoubtful() {
      return lost;
    }

    @Override
    public boolean isLost() {
      return lost;
    }

    @Override
    public boolean isHeardElsewhere() {
      return heardElsewhere;
    }
  }

  private final ScriptedPath path = new ScriptedPath();

  @BeforeEach
  void start() throws IOException {
    cutOff = new RunningGateway();
    peer = new RunningGateway();
    cutOff.makeFleetKnown();
    peer.makeFleetKnown();
    cutOff.gateway().setUpstreamPath(path);
    cutOff.forwardTo(peer.takeForwarded(), List.of(message("edge-2"), message("edge-3")));
    path.lost = true;
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    cutOff.close();
    peer.close();
  }

  /** Returns the message of a daemon; all of them are the one that takes forwarded requests. */
  static PeerMessage message(String name) {
    return new PeerMessage(
        name,
        "127.0.0.1",
        "a",
        1,
        1,
        "",
        0,
        LeaderEligibility.ELIGIBLE,
        true,
        false,
        PathReport.SOUND,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  private ScriptedUpstream serve(RunningGateway gateway, String... responses) throws IOException {
    ScriptedUpstream upstream = new ScriptedUpstream(responses);
    upstreams.add(upstream);
    gateway.serve(List.of(upstream), "");
    return upstream;
  }

  private void losePath() {
    path.lost = true;
    synchronized (cutOff.lock()) {
      cutOff.gateway().onPathLost();
    }
  }

  @Test
  void unsafeRequestIsServedThroughAPeerOnceWithItsOwnHeaders() throws Exception {
    ScriptedUpstream upstream = serve(peer, OK);
    HttpResponse<String> answer = cutOff.send("/unsafe/x?q=1");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.headers().firstValue("T-Signed")).contains("s");
    assertThat(upstream.requests()).hasSize(1);
    assertThat(upstream.requests().get(0))
        .containsEntry("", "POST /unsafe/x?q=1 HTTP/1.1")
        .containsEntry("t-workspace", "garden")
        .doesNotContainKeys("authorization", "fawnvale-attempts");
  }

  @Test
  void forwardedRequestIsCountedOnceInTheRetryBudgetsOfTheFleet() throws Exception {
    serve(peer, OK, OK);
    peer.send("/safe/x");
    double before = peer.metric("fawnvale.repeats.left", "service", "s");
    assertThat(cutOff.send("/safe/x").statusCode()).isEqualTo(200);
    assertThat(peer.metric("fawnvale.repeats.left", "service", "s")).isEqualTo(before);
  }

  @Test
  void streamIsServedThroughAPeer() throws Exception {
    serve(peer, STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    assertThat(cutOff.send("/stream/").body()).isEqualTo(ALL_EVENTS);
  }

  @Test
  void streamInFlightGoesOnThroughAPeerWhenThePathIsLost() throws Exception {
    path.lost = false;
    ScriptedUpstream hanging = serve(cutOff, ScriptedUpstream.NO_RESPONSE);
    serve(peer, STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    CompletableFuture<HttpResponse<String>> answer = cutOff.sendLater("/stream/", "", WAIT_MILLIS);
    hanging.awaitRequest();
    losePath();
    assertThat(answer.get().body()).isEqualTo(ALL_EVENTS);
  }

  @Test
  void unsafeRequestInFlightIsNotSentThroughAPeerWhenThePathIsLost() throws Exception {
    path.lost = false;
    ScriptedUpstream hanging = serve(cutOff, ScriptedUpstream.NO_RESPONSE);
    ScriptedUpstream other = serve(peer, OK);
    CompletableFuture<HttpResponse<String>> answer = cutOff.sendLater("/unsafe/", "", 1_500);
    hanging.awaitRequest();
    losePath();
    assertThat(answer.get().statusCode()).isEqualTo(504);
    assertThat(other.requests()).isEmpty();
  }

  @Test
  void refusalOfThePeerReachesTheCallerWithItsTimeToComeBack() throws Exception {
    HttpResponse<String> answer = cutOff.send("/safe/");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
  }

  /** Guards against a request that runs at two daemons: what one declined before says nothing. */
  @Test
  void peersAnswerToAnotherRequestIsPassedOver() throws Exception {
    String declined =
        "HTTP/1.1 503 Busy\r\nT-Id: earlier\r\nFawnvale-Not-Taken: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedUpstream scriptedPeer = new ScriptedUpstream(declined + OK, OK);
    upstreams.add(scriptedPeer);
    cutOff.forwardTo(scriptedPeer.port(), List.of(message("edge-2"), message("edge-3")));
    assertThat(cutOff.send("/unsafe/").statusCode()).isEqualTo(200);
    assertThat(scriptedPeer.requests()).hasSize(1);
  }

  @Test
  void forwardedRequestIsNotForwardedAgain() throws Exception {
    ScriptedPath pathOfPeer = new ScriptedPath();
    pathOfPeer.lost = true;
    peer.gateway().setUpstreamPath(pathOfPeer);
    ScriptedUpstream upstream = serve(peer, OK);
    assertThat(cutOff.send("/unsafe/").statusCode()).isEqualTo(503);
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void requestIsServedThroughAPeerWhereNewConnectionsAreRefused() throws Exception {
    path.lost = false;
    List<ScriptedUpstream> gone =
        List.of(new ScriptedUpstream(), new ScriptedUpstream(), new ScriptedUpstream());
    cutOff.serve(gone, "");
    for (ScriptedUpstream upstream : gone) {
      upstream.close();
    }
    serve(peer, OK);
    assertThat(cutOff.send("/unsafe/").statusCode()).isEqualTo(200);
  }

  @Test
  void requestIsServedThroughAPeerWhereThisDaemonSuspectsAllUpstreams() throws Exception {
    path.lost = false;
    serve(cutOff, OK);
    synchronized (cutOff.lock()) {
      cutOff.dispatcher().state("n0").markSuspect(System.nanoTime());
    }
    ScriptedUpstream reached = serve(peer, OK);
    assertThat(cutOff.send("/unsafe/").statusCode()).isEqualTo(200);
    assertThat(reached.requests()).hasSize(1);
  }

  private ScriptedUpstream servePaused() throws IOException {
    path.lost = false;
    ScriptedUpstream paused = serve(cutOff, OK);
    synchronized (cutOff.lock()) {
      cutOff.dispatcher().state("n0").markPaused();
    }
    return paused;
  }

  @Test
  void requestForAPausedUpstreamIsServedThroughAPeerThatHearsUpstreams() throws Exception {
    ScriptedUpstream paused = servePaused();
    path.heardElsewhere = true;
    serve(peer, OK);
    assertThat(cutOff.send("/unsafe/").statusCode()).isEqualTo(200);
    assertThat(paused.requests()).isEmpty();
  }

  @Test
  void requestForAPausedUpstreamIsNotForwardedWhileNoDaemonHearsUpstreams() throws Exception {
    ScriptedUpstream paused = servePaused();
    ScriptedUpstream other = serve(peer, OK);
    assertThat(cutOff.send("/unsafe/").statusCode()).isEqualTo(200);
    assertThat(paused.requests()).hasSize(1);
    assertThat(other.requests()).isEmpty();
  }

  private List<ScriptedUpstream> serveAtPeer(String... answers) throws IOException {
    List<ScriptedUpstream> served = new ArrayList<>();
    for (String answer : answers) {
      served.add(new ScriptedUpstream(answer, answer));
    }
    upstreams.addAll(served);
    peer.serve(served, "");
    return served;
  }

  private static int requestsAt(List<ScriptedUpstream> served) {
    return served.stream().mapToInt(upstream -> upstream.requests().size()).sum();
  }

  @Test
  void streamThatPeersBreakOffRunsAtNoMoreUpstreamsThanItsRouteAllows() throws Exception {
    String breaks = STREAM_HEAD + FIRST_EVENT + ScriptedUpstream.RESET;
    List<ScriptedUpstream> served = serveAtPeer(breaks, breaks, breaks, breaks);
    cutOff.sendLater("/stream/", "", WAIT_MILLIS).handle((answer, failure) -> answer).join();
    assertThat(requestsAt(served)).isEqualTo(2);
  }

  @Test
  void requestThatPeersDoNotAnswerRunsAtNoMoreUpstreamsThanItsRouteAllows() throws Exception {
    String breaks = ScriptedUpstream.RESET;
    List<ScriptedUpstream> served = serveAtPeer(breaks, breaks, breaks, breaks);
    assertThat(cutOff.send("/safe/").statusCode()).isEqualTo(502);
    assertThat(requestsAt(served)).isEqualTo(2);
  }

  /** Only the first request that any of the peer's two upstreams receives gets this answer. */
  private void serveAtOnePeer(String firstAnswer, String laterAnswers) throws IOException {
    AtomicInteger received = new AtomicInteger();
    List<ScriptedUpstream> served = new ArrayList<>();
    for (int number = 0; number < 2; number++) {
      served.add(
          new ScriptedUpstream(
              head -> received.getAndIncrement() == 0 ? firstAnswer : laterAnswers));
    }
    upstreams.addAll(served);
    peer.serve(served, "");
    cutOff.forwardTo(peer.takeForwarded(), List.of(message("edge-2")));
  }

  @Test
  void streamThatAnUpstreamOfTheOnlyPeerBreaksOffGoesOnThere() throws Exception {
    serveAtOnePeer(
        STREAM_HEAD + FIRST_EVENT + ScriptedUpstream.RESET,
        STREAM_HEAD + ScriptedUpstream.EVENTS + LAST_CHUNK);
    assertThat(cutOff.sendLater("/stream/", "", WAIT_MILLIS).get().body()).isEqualTo(ALL_EVENTS);
  }

  @Test
  void requestThatAnUpstreamOfTheOnlyPeerDoesNotAnswerIsServedThere() throws Exception {
    serveAtOnePeer(ScriptedUpstream.RESET, OK);
    assertThat(cutOff.send("/safe/").statusCode()).isEqualTo(200);
  }

  @Test
  void requestInFlightAtAPeerThatLosesItsPathIsServedElsewhere() throws Exception {
    serveAtOnePeer(ScriptedUpstream.NO_RESPONSE, OK);
    peer.forwardTo(0, List.of(message("edge-3")));
    CompletableFuture<HttpResponse<String>> answer = cutOff.sendLater("/safe/", "", WAIT_MILLIS);
    awaitForwarded();
    synchronized (peer.lock()) {
      peer.gateway().onPathLost();
    }
    assertThat(answer.get().statusCode()).isEqualTo(200);
  }

  private void awaitForwarded() throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (requestsAt(upstreams) == 0 && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertThat(requestsAt(upstreams)).isEqualTo(1);
  }

  @Test
  void callerThatLeavesEndsTheWorkAtThePeersUpstream() throws Exception {
    ScriptedUpstream upstream = serve(peer, ScriptedUpstream.NO_RESPONSE);
    try (Socket caller = new Socket("127.0.0.1", cutOff.port())) {
      String request =
          "POST /stream/ HTTP/1.1\r\nHost: localhost\r\nT-Id: r1\r\n"
              + "Authorization: Key secret\r\nContent-Length: 4\r\n\r\nbody";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      upstream.awaitRequest();
    }
    assertThat(upstream.awaitDisconnect()).isTrue();
  }
}
