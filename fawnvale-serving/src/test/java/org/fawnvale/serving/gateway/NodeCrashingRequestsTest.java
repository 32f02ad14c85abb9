package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that crashes every node that runs it and whose caller retries it with a
 * new id: without the quarantine each retry crashes further nodes.
 */
class NodeCrashingRequestsTest {

  private static final int NODES = 10;

  /** Number of nodes that a request may crash before it is quarantined. */
  private static final int MAX_EXITS = 3;

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway running;
  private Gateway gateway;
  private int port;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
    gateway = running.gateway();
    port = running.port();
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  /** Starts nodes that exit at the first request that they run. */
  private void startCrashingNodes() throws IOException {
    for (int number = 0; number < NODES; number++) {
      upstreams.add(new ScriptedUpstream(ScriptedUpstream.EXIT));
    }
    serve();
  }

  private void serve() {
    running.serve(upstreams, "");
  }

  private int send(String path, String id, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + path))
            .header("T-Id", id)
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return java.net.http.HttpClient.newHttpClient()
        .send(request, HttpResponse.BodyHandlers.discarding())
        .statusCode();
  }

  private int requestsReceived() {
    return upstreams.stream().mapToInt(upstream -> upstream.requests().size()).sum();
  }

  @Test
  void requestThatCrashedThreeNodesIsSentToNoFurtherNode() throws Exception {
    startCrashingNodes();
    for (int attempt = 0; attempt < 5; attempt++) {
      send("/safe/sheet", "r" + attempt, "rose");
    }
    assertThat(requestsReceived()).isEqualTo(MAX_EXITS);
  }

  @Test
  void unsafeRequestThatCrashedThreeNodesIsSentToNoFurtherNode() throws Exception {
    startCrashingNodes();
    for (int attempt = 0; attempt < 5; attempt++) {
      send("/unsafe/order", "r" + attempt, "rose");
    }
    assertThat(requestsReceived()).isEqualTo(MAX_EXITS);
  }

  @Test
  void pendingRequestIsCancelledWhenPeersReportItAsQuarantined() throws Exception {
    ScriptedUpstream silent = new ScriptedUpstream(ScriptedUpstream.NO_RESPONSE);
    upstreams.add(silent);
    serve();
    CompletableFuture<Integer> status = sendAsync("/safe/sheet", "rose");
    silent.awaitRequest();
    synchronized (running.lock()) {
      gateway
          .quarantine()
          .receive(
              new CrashRecords(
                  List.of(
                      new QuarantineRecord(
                          fingerprint("/safe/sheet", "rose"), incarnations(), Set.of())),
                  List.of()));
    }
    assertThat(status.get()).isEqualTo(502);
    assertThat(silent.awaitDisconnect()).isTrue();
  }

  @Test
  void quarantinedRequestIsRefusedAsNotRun() throws Exception {
    startCrashingNodes();
    synchronized (running.lock()) {
      gateway
          .quarantine()
          .receive(
              new CrashRecords(
                  List.of(
                      new QuarantineRecord(
                          fingerprint("/safe/sheet", "rose"), incarnations(), Set.of())),
                  List.of()));
    }
    assertThat(send("/safe/sheet", "r1", "rose")).isEqualTo(503);
    assertThat(requestsReceived()).isZero();
    assertThat(send("/safe/sheet", "r2", "tulip")).isEqualTo(502);
  }

  private Fingerprint fingerprint(String path, String body) {
    BasicHttpRequest head = new BasicHttpRequest("POST", path);
    head.addHeader("Host", "localhost:" + port);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return Fingerprints.of(head, bytes, new Workspace("garden", 1));
  }

  private static Set<NodeIncarnation> incarnations() {
    return Set.of(
        NodeIncarnation.only("x1"), NodeIncarnation.only("x2"), NodeIncarnation.only("x3"));
  }

  private CompletableFuture<Integer> sendAsync(String path, String body) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return send(path, "r1", body);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** The connections break, but the nodes keep running, so the request is not suspected. */
  @Test
  void requestIsRetriedWhenConnectionsBreakButNodesKeepRunning() throws Exception {
    for (int number = 0; number < NODES; number++) {
      upstreams.add(new ScriptedUpstream(ScriptedUpstream.RESET));
    }
    serve();
    for (int attempt = 0; attempt < 5; attempt++) {
      send("/safe/sheet", "r" + attempt, "rose");
    }
    assertThat(requestsReceived()).isEqualTo(NODES);
  }
}
