package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that run twice because an upstream's 503, 429, 408 or 421 behind their
 * run is passed on: callers take these for the promise that nothing has run, and send them again.
 */
class PromisesOfUpstreamsTest {

  private static final String SIGNED = "T-Signed: 3e1b.07.5a2.600\r\n";
  private static final int WAIT_MILLIS = 20_000;

  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private RunningGateway running;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    running.close();
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
  }

  private static String answer(int status, String lines) {
    return "HTTP/1.1 " + status + " Odd\r\nT-Id: r\r\n" + lines + "Content-Length: 3\r\n\r\nodd";
  }

  private HttpResponse<String> send(String path, String... answers) throws IOException {
    for (String answer : answers) {
      upstreams.add(new ScriptedUpstream(answer));
    }
    running.serve(upstreams, "");
    return running.sendLater(path, "", WAIT_MILLIS).orTimeout(10, TimeUnit.SECONDS).join();
  }

  private int requestsRun() {
    return upstreams.stream().mapToInt(upstream -> upstream.requests().size()).sum();
  }

  @ParameterizedTest
  @CsvSource({
    "/unsafe/,503,signed",
    "/unsafe/,503,unsigned",
    "/unsafe/,429,signed",
    "/unsafe/,408,signed",
    "/unsafe/,408,unsigned",
    "/unsafe/,421,signed"
  })
  void promiseBehindARunIsAnErrorWithoutSignature(String path, int status, String signature)
      throws IOException {
    String lines = ("signed".equals(signature) ? SIGNED : "") + "Retry-After: 0\r\n";
    HttpResponse<String> answer = send(path, answer(status, lines), answer(200, SIGNED));
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.headers().firstValue("T-Signed")).isEmpty();
    assertThat(answer.headers().firstValue("Retry-After")).isEmpty();
    assertThat(requestsRun()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 408, 421})
  void requestThatMayRunTwiceIsServedElsewhere(int status) throws IOException {
    HttpResponse<String> answer = send("/safe/", answer(status, SIGNED), answer(200, SIGNED));
    assertThat(answer.statusCode()).isEqualTo(200);
  }

  @ParameterizedTest
  @CsvSource({
    "/safe/,503",
    "/safe/,429",
    "/safe/,408",
    "/safe/,421",
    "/stream/,503",
    "/stream/,429"
  })
  void requestThatMayRunTwiceGetsAnErrorIfThereIsNoOtherUpstream(String path, int status)
      throws IOException {
    HttpResponse<String> answer = send(path, answer(status, SIGNED));
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.headers().firstValue("T-Signed")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 408, 421, 400})
  void answerThatSaysThatNothingHasRunIsStillBelieved(int status) throws IOException {
    HttpResponse<String> answer =
        send("/unsafe/", answer(status, "T-Not-Run: 1\r\n"), answer(200, SIGNED));
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(requestsRun()).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 404, 409, 500, 504})
  void otherFailureOfAnUpstreamIsStillPassedOnWithItsSignature(int status) throws IOException {
    HttpResponse<String> answer = send("/unsafe/", answer(status, SIGNED));
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(answer.headers().firstValue("T-Signed")).isPresent();
    assertThat(answer.body()).isEqualTo("odd");
  }
}
