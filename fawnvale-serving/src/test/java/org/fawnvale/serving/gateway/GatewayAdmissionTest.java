package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admission of streams at a real gateway, with the switch on and off. */
class GatewayAdmissionTest {

  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: first\r\nContent-Type: text/event-stream\r\n"
          + "Content-Length: 11\r\n\r\ndata: one\n\n";

  /** Times that make a stream of the usual size arrive three times its target late. */
  private static final double SLOW = 100;

  private RunningGateway running;
  private ScriptedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown(GatewayTest.rankedConfiguration());
    upstream = new ScriptedUpstream(STREAM, STREAM, STREAM, STREAM);
    running.serve(List.of(upstream), "m");
  }

  @AfterEach
  void stop() throws IOException {
    upstream.close();
    running.close();
  }

  /** Guards against a forecast that refuses requests although the switch is off. */
  @Test
  void withoutAdmissionASlowHeadGetsTheRequest() throws Exception {
    running.dispatcher().setForecast(new HeadForecast(), n -> SLOW);
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    assertThat(running.registry().find("fawnvale.admission.predicted.ms").summary()).isNull();
  }

  /** Guards against admission by urgency where all requests are equally urgent. */
  @Test
  void equallyUrgentRequestsAreAdmittedAsWithoutAdmission() throws Exception {
    running.makeFleetKnown(GatewayTest.configuration());
    running.admitByForecast(SLOW);
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    assertThat(running.registry().find("fawnvale.admission.predicted.ms").summary()).isNull();
  }

  /** Guards against refusals by urgency although that switch is off. */
  @Test
  void withoutUrgencyAnOverloadRefusesNoFirstTry() throws Exception {
    running.admitWhateverTheUrgency();
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    synchronized (running.lock()) {
      running.gateway().updateAdmission(Map.of("m", List.of(0.0, 50.0, 50.0, 50.0)));
      assertThat(running.gateway().offeredByUrgency()).isEmpty();
    }
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    assertThat(running.registry().find("fawnvale.admission.predicted.ms").summary()).isNotNull();
  }

  /**
   * Guards against late answers while less urgent requests are refused: what no head answers in
   * time is refused with a Retry-After.
   */
  @Test
  void whileTheLevelRefusesASlowHeadGetsNoFirstTry() throws Exception {
    double[] pace = {1};
    running.admitByForecast(node -> pace[0]);
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    synchronized (running.lock()) {
      List<Double> lessUrgent = List.of(0.0, 0.0, 0.0, 50.0);
      running.gateway().updateAdmission(Map.of("m", lessUrgent));
      pace[0] = SLOW;
    }
    HttpResponse<String> answer = running.send("/stream/", "m");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(upstream.requests()).hasSize(1);
    assertThat(running.metric("fawnvale.admission.refused", "reason", "late")).isEqualTo(1);
  }

  /** Guards against refusals by a wrong forecast below capacity, and against full heads. */
  @Test
  void belowCapacityASlowHeadGetsFirstTriesUpToItsSlots() throws Exception {
    running.admitByForecast(SLOW);
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    synchronized (running.lock()) {
      running.dispatcher().setPeersInFlight(Map.of("n0", 10));
    }
    HttpResponse<String> answer = running.send("/stream/", "m");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(upstream.requests()).hasSize(1);
  }

  /** Guards against prompts that count as waiting for ever, and against missing observations. */
  @Test
  void firstEventEndsTheWaitOfThePromptAndIsCompared() throws Exception {
    running.admitByForecast(1);
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    synchronized (running.lock()) {
      assertThat(running.dispatcher().state("n0").waitingPromptTokens()).isZero();
    }
    assertThat(running.registry().get("fawnvale.admission.predicted.ms").summary().count())
        .isEqualTo(1);
    assertThat(running.registry().get("fawnvale.admission.observed.ms").summary().count())
        .isEqualTo(1);
  }

  /**
   * Guards against less urgent requests that are sent while other daemons have more urgent ones.
   */
  @Test
  void moreUrgentWorkOfOtherDaemonsGoesFirst() throws Exception {
    running.admitByForecast(1);
    assertThat(running.send("/stream/", "m").statusCode()).isEqualTo(200);
    synchronized (running.lock()) {
      assertThat(running.gateway().offeredByUrgency().get("m").get(1)).isPositive();
      running.gateway().updateAdmission(Map.of("m", List.of(50.0)));
    }
    HttpResponse<String> answer = running.send("/stream/", "m");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(upstream.requests()).hasSize(1);
    assertThat(
            running.registry().get("fawnvale.admission.refused").tag("reason", "level").counter())
        .matches(counter -> counter.count() == 1);
    assertThat(running.registry().get("fawnvale.admission.level").gauge().value()).isLessThan(1);
  }
}
