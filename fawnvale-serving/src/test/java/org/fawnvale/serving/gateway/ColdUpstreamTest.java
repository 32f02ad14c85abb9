package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that overruns an upstream which says that it is cold. */
class ColdUpstreamTest {

  private static final String COLD =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Cold-Ms: 60000\r\n"
          + "Content-Length: 2\r\n\r\nok";
  private static final int REQUESTS = 40;
  private static final double PER_SECOND = 2;

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway running;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  private ScriptedUpstream serve(ServiceSpec.ColdStart coldStart) throws IOException {
    running.configure(Map.of("s", new ServiceSpec("s", 50, null, coldStart)));
    ScriptedUpstream upstream =
        new ScriptedUpstream(Collections.nCopies(REQUESTS, COLD).toArray(String[]::new));
    upstreams.add(upstream);
    running.serve(upstreams, "");
    return upstream;
  }

  @Test
  void requestsBeyondWhatAColdUpstreamBearsAreRefusedAtOnceWithRetryAfter() throws Exception {
    ScriptedUpstream upstream = serve(new ServiceSpec.ColdStart(30_000, PER_SECOND));
    assertThat(running.send("/safe/").statusCode()).isEqualTo(200);
    long begunNanos = System.nanoTime();
    int answered = 0;
    for (int request = 1; request < REQUESTS; request++) {
      HttpResponse<String> answer = running.send("/safe/");
      answered += answer.statusCode() == 200 ? 1 : 0;
      if (answer.statusCode() != 200) {
        assertThat(answer.statusCode()).isEqualTo(503);
        assertThat(answer.headers().firstValue("Retry-After")).isPresent();
      }
    }
    double seconds = (System.nanoTime() - begunNanos) / 1e9;
    assertThat(answered).isLessThanOrEqualTo((int) (PER_SECOND * seconds) + 1);
    assertThat(upstream.requests()).hasSize(answered + 1);
  }

  @Test
  void upstreamOfAServiceWithoutColdStartReceivesAllRequests() throws Exception {
    ScriptedUpstream upstream = serve(null);
    for (int request = 0; request < REQUESTS; request++) {
      assertThat(running.send("/safe/").statusCode()).isEqualTo(200);
    }
    assertThat(upstream.requests()).hasSize(REQUESTS);
  }
}
