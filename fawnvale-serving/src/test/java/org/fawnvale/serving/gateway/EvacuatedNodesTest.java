package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach an evacuated data centre since they were chosen, retried or
 * resumed at the moment of the evacuation.
 */
class EvacuatedNodesTest {

  private static final String METRIC = "fawnvale.evacuation.requests";
  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String NOT_RUN =
      "HTTP/1.1 503 Full\r\nT-Id: <id>\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String BROKEN_STREAM =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n"
          + "12\r\nid: 1\ndata: 1\n\nid: \r\n"
          + ScriptedUpstream.RESET;

  private final Evacuations evacuations = Evacuations.unknown();
  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway running;
  private long revision;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway(evacuations);
    evacuate();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  private void evacuate(String... dataCentres) {
    synchronized (running.lock()) {
      StorePosition position = new StorePosition(new StoreEra(1), ++revision);
      evacuations.receive(new EvacuationState(position, Set.of(dataCentres)));
    }
  }

  /** Starts a node in the gateway's data centre and one in another, which is chosen second. */
  private void startNodes(String near, String far) throws IOException {
    upstreams.add(new ScriptedUpstream(near));
    upstreams.add(new ScriptedUpstream(far));
    running.serve(upstreams, "", List.of("a", "b"));
  }

  private int requestsAt(int node) {
    return upstreams.get(node).requests().size();
  }

  @Test
  void requestWhoseUpstreamIsEvacuatedBeforeItIsWrittenGoesElsewhere() throws Exception {
    startNodes(OK, OK);
    synchronized (running.lock()) {
      // Evacuates the data centre while an upstream is chosen, after it was found eligible.
      running
          .dispatcher()
          .setConnected(
              endpoint -> {
                evacuate("a");
                return false;
              });
    }
    assertThat(running.send("/unsafe/order").statusCode()).isEqualTo(200);
    assertThat(requestsAt(0)).isZero();
    assertThat(requestsAt(1)).isEqualTo(1);
    assertThat(running.count(METRIC, "outcome", "held")).isEqualTo(1);
  }

  @Test
  void rejectedRequestIsNotRetriedInAnEvacuatedDataCentre() throws Exception {
    startNodes(NOT_RUN, OK);
    evacuate("b");
    HttpResponse<String> refused = running.send("/safe/sheet");
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    assertThat(requestsAt(1)).isZero();
  }

  @Test
  void brokenStreamDoesNotResumeInAnEvacuatedDataCentre() throws Exception {
    startNodes(BROKEN_STREAM, OK);
    evacuate("b");
    try {
      running.send("/stream/sheet");
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("EOF");
    }
    assertThat(requestsAt(0)).isEqualTo(1);
    assertThat(requestsAt(1)).isZero();
  }

  @Test
  void requestIsRefusedAtOnceWhenAllDataCentresAreEvacuated() throws Exception {
    startNodes(OK, OK);
    evacuate("a", "b");
    HttpResponse<String> refused = running.send("/unsafe/order");
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    assertThat(requestsAt(0) + requestsAt(1)).isZero();
    assertThat(running.count(METRIC, "outcome", "refused")).isEqualTo(1);
  }
}
