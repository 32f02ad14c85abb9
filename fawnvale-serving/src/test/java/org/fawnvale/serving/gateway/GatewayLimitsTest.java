package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whatever a gateway sends to a node that names a limit is counted there. */
class GatewayLimitsTest {

  private static final int REQUESTS = 30;
  private static final double LIMIT = 0.5;

  /** The first answer tells the limit; up to two requests are saved up. */
  private static final int BESIDE = 3;

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String LIMITED =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Limit: 0.5\r\nContent-Length: 2\r\n\r\nok";
  private static final String LIMITED_AND_FAILS =
      "HTTP/1.1 500 No\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Limit: 0.5\r\nContent-Length: 0\r\n\r\n";

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private final long begunNanos = System.nanoTime();
  private RunningGateway running;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.knowFleet();
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  private ScriptedUpstream node(String answer) throws IOException {
    List<String> answers = Collections.nCopies(REQUESTS * 4, answer);
    ScriptedUpstream upstream = new ScriptedUpstream(answers.toArray(String[]::new));
    upstreams.add(upstream);
    running.serve(upstreams, "");
    return upstream;
  }

  /** What the limit allows since the test began, however long that was. */
  private int allowed() {
    double seconds = (System.nanoTime() - begunNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    return (int) (LIMIT * seconds) + BESIDE;
  }

  @Test
  void aLimitedNodeGetsWhatItTakesAndTheOtherNodeTheRest() throws Exception {
    ScriptedUpstream limited = node(LIMITED);
    while (limited.requests().isEmpty()) {
      running.ask("/unsafe/order");
    }
    node(OK);
    for (int number = 0; number < REQUESTS; number++) {
      assertThat(running.ask("/unsafe/order").statusCode()).isEqualTo(200);
    }
    assertThat(limited.requests()).hasSizeLessThanOrEqualTo(allowed());
  }

  @Test
  void whereAllAreAtTheirLimitsCallersAreRefusedAtOnceAndToldWhenThereIsRoom() throws Exception {
    ScriptedUpstream limited = node(LIMITED);
    HttpResponse<String> last = running.ask("/safe/sheet");
    for (int number = 0; number < REQUESTS; number++) {
      last = running.ask("/safe/sheet");
    }
    assertThat(limited.requests()).hasSizeLessThanOrEqualTo(allowed());
    assertThat(last.statusCode()).isEqualTo(503);
    assertThat(last.headers().firstValue("Retry-After")).isPresent();
  }

  /** A node that fails part of its work names its limit with these answers as well. */
  @Test
  void repeatsAreCountedToo() throws Exception {
    ScriptedUpstream one = node(LIMITED_AND_FAILS);
    ScriptedUpstream other = node(LIMITED_AND_FAILS);
    for (int number = 0; number < REQUESTS; number++) {
      running.ask("/safe/sheet");
    }
    assertThat(one.requests()).hasSizeLessThanOrEqualTo(allowed());
    assertThat(other.requests()).hasSizeLessThanOrEqualTo(allowed());
  }
}
