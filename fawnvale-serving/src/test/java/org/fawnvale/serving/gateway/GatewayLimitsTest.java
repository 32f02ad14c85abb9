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

/**
 * Guards against sending a node more requests than the limit that it advertises, retries included.
 */
class GatewayLimitsTest {

  private static final int REQUESTS = 30;
  private static final double LIMIT = 0.5;

  /**
   * Requests beyond the rate: the first, whose response advertises the limit, and a burst of two.
   */
  private static final int BURST = 3;

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String LIMITED =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Limit: 0.5\r\nContent-Length: 2\r\n\r\nok";
  private static final String LIMITED_AND_FAILS =
      "HTTP/1.1 500 No\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Limit: 0.5\r\nContent-Length: 0\r\n\r\n";

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private final long startNanos = System.nanoTime();
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

  private ScriptedUpstream startNode(String answer) throws IOException {
    List<String> answers = Collections.nCopies(REQUESTS * 4, answer);
    ScriptedUpstream upstream = new ScriptedUpstream(answers.toArray(String[]::new));
    upstreams.add(upstream);
    running.serve(upstreams, "");
    return upstream;
  }

  /** Returns how many requests the limit has allowed since the test began. */
  private int allowed() {
    double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    return (int) (LIMIT * seconds) + BURST;
  }

  @Test
  void limitedNodeGetsAtMostItsLimitAndTheOtherNodeTheRemainder() throws Exception {
    ScriptedUpstream limited = startNode(LIMITED);
    while (limited.requests().isEmpty()) {
      running.send("/unsafe/order");
    }
    startNode(OK);
    for (int number = 0; number < REQUESTS; number++) {
      assertThat(running.send("/unsafe/order").statusCode()).isEqualTo(200);
    }
    assertThat(limited.requests()).hasSizeLessThanOrEqualTo(allowed());
  }

  @Test
  void callersAreRefusedWithRetryAfterWhenAllNodesAreAtTheirLimits() throws Exception {
    ScriptedUpstream limited = startNode(LIMITED);
    HttpResponse<String> last = running.send("/safe/sheet");
    for (int number = 0; number < REQUESTS; number++) {
      last = running.send("/safe/sheet");
    }
    assertThat(limited.requests()).hasSizeLessThanOrEqualTo(allowed());
    assertThat(last.statusCode()).isEqualTo(503);
    assertThat(last.headers().firstValue("Retry-After")).isPresent();
  }

  /** A node advertises its limit with error responses, too. */
  @Test
  void retriesCountAgainstTheLimit() throws Exception {
    ScriptedUpstream one = startNode(LIMITED_AND_FAILS);
    ScriptedUpstream other = startNode(LIMITED_AND_FAILS);
    for (int number = 0; number < REQUESTS; number++) {
      running.send("/safe/sheet");
    }
    assertThat(one.requests()).hasSizeLessThanOrEqualTo(allowed());
    assertThat(other.requests()).hasSizeLessThanOrEqualTo(allowed());
  }
}
