package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against sendings that nobody has paid for, and against logs that don't tell who has. */
class SendPaymentTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String NOT_RUN =
      "HTTP/1.1 503 Busy\r\nT-Id: <id>\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private final CapturedLog log = new CapturedLog("gateway");
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
    log.close();
  }

  private void serve(String... firstAnswers) throws IOException {
    for (String answer : firstAnswers) {
      upstreams.add(new ScriptedUpstream(answer, OK));
    }
    running.serve(upstreams, "");
  }

  private double paidBy(SendPayment payment) {
    return running.metric("fawnvale.sends", "paid_by", payment.toString());
  }

  @Test
  void sendingAfterARejectionIsPaidForByTheBudget() throws Exception {
    serve(NOT_RUN, NOT_RUN);
    assertThat(running.send("/safe/x").statusCode()).isEqualTo(503);
    assertThat(paidBy(SendPayment.FIRST)).isEqualTo(1);
    assertThat(paidBy(SendPayment.BUDGET)).isEqualTo(1);
    assertThat(log.linesWith("paid_by=budget")).hasSize(1);
  }

  @Test
  void sendingAfterABreakIsPaidForByTheBudget() throws Exception {
    serve(ScriptedUpstream.RESET, ScriptedUpstream.RESET);
    assertThat(running.send("/safe/x").statusCode()).isEqualTo(502);
    assertThat(paidBy(SendPayment.BUDGET)).isEqualTo(1);
    assertThat(paidBy(SendPayment.NOBODY)).isZero();
  }

  @Test
  void sendingAfterAnUnreachedUpstreamIsStillTheFirst() throws Exception {
    serve(OK, OK);
    upstreams.get(0).close();
    upstreams.get(1).close();
    upstreams.add(new ScriptedUpstream(OK));
    running.serve(upstreams, "");
    assertThat(running.send("/safe/x").statusCode()).isEqualTo(200);
    assertThat(paidBy(SendPayment.FIRST)).isGreaterThanOrEqualTo(1);
    assertThat(paidBy(SendPayment.BUDGET)).isZero();
    assertThat(paidBy(SendPayment.NOBODY)).isZero();
  }
}
