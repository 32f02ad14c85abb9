package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers with a spoilt head, chunk size or trailer that callers get: as another
 * body, with a line that is no field, or as a promise or a signal that nobody gave.
 */
class SpoiltAnswersTest {

  private static final String FIRST = "HTTP/1.1 200 OK\r\n";
  private static final String SIGNED = "T-Id: <id>\r\nT-Signed: 3e1b.07.5a2.600\r\n";
  private static final String BODY = "twenty bytes of body";
  private static final String LENGTH = "Content-Length: 20\r\n";
  private static final String CODING = "Transfer-Encoding: chunked\r\n";
  private static final String CHUNKS = "14\r\n" + BODY + "\r\n0\r\n\r\n";
  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String ALL_EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
  private static final int WAIT_MILLIS = 20_000;

  /** Lines that stand in no sound head; each is put into an otherwise sound one. */
  private static List<String> spoiltLines() {
    List<String> lines = new ArrayList<>();
    for (char odd : " \t\u0000\u0001\u001b\u007f\u0080\u00ff/()<>@,;\\\"[]?={}".toCharArray()) {
      lines.add("X" + odd + "Tone: 1");
    }
    lines.add("X-Tone : 1");
    lines.add("X-Tone\t: 1");
    lines.add(": 1");
    lines.add("X-Tone");
    lines.add("X-Tone 1");
    lines.add("X-Tone: \u0000");
    lines.add("X-Tone: a\u001bb");
    lines.add("X-Tone: a\rb");
    lines.add(" Content-Type: text/plain");
    lines.add("\tX-Tone: 1");
    return lines;
  }

  /** Framings whose line is spoilt, so that nothing tells where the body ends. */
  private static List<String> spoiltLengths() {
    List<String> lines = new ArrayList<>();
    for (char odd : " \t\u0000\u0001\u007f\u0080\u00ff/[(".toCharArray()) {
      lines.add("Content" + odd + "Length: 20");
    }
    lines.add("Content-Length : 20");
    lines.add(" Content-Length: 20");
    lines.add("\tContent-Length: 20");
    for (String value :
        List.of("+20", "-20", "2x", "2 0", "", "20, 21", "20,20", "0x14", "99999999999999999999")) {
      lines.add("Content-Length: " + value);
    }
    lines.add("Content-Length: 20\r\nContent-Length: 21");
    lines.add("Content-Length: 20\r\nTransfer-Encoding: chunked");
    return lines;
  }

  private static List<String> spoiltCodings() {
    return List.of(
        "Transfer Encoding: chunked",
        "Transfer\u0001Encoding: chunked",
        "Transfer-Encoding : chunked",
        " Transfer-Encoding: chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunkes",
        "Transfer-Encoding:");
  }

  private static List<String> spoiltFirstLines() {
    return List.of(
        "HTTP/1.1 000 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1  200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.1 200 O\u0001K",
        "HTP/1.1 200 OK",
        "200 OK");
  }

  /** Answers each of which is spoilt in one place. */
  static Stream<String> spoiltAnswers() {
    List<String> answers = new ArrayList<>();
    for (String line : spoiltLines()) {
      answers.add(FIRST + SIGNED + line + "\r\n" + LENGTH + "\r\n" + BODY);
      answers.add(FIRST + SIGNED + LENGTH + line + "\r\n\r\n" + BODY);
      answers.add(FIRST + SIGNED + CODING + line + "\r\n\r\n" + CHUNKS);
    }
    for (String line : spoiltLengths()) {
      answers.add(FIRST + SIGNED + line + "\r\n\r\n" + BODY);
    }
    for (String line : spoiltCodings()) {
      answers.add(FIRST + SIGNED + line + "\r\n\r\n" + CHUNKS);
    }
    for (String line : spoiltFirstLines()) {
      answers.add(line + "\r\n" + SIGNED + LENGTH + "\r\n" + BODY);
    }
    for (String size : List.of("+14", "-14", "14h", "0x14", "1 4", "", "14\u0000")) {
      answers.add(FIRST + SIGNED + CODING + "\r\n" + size + "\r\n" + BODY + "\r\n0\r\n\r\n");
    }
    for (String trailer : List.of("X", "X Tone: 1", "X-Tone : 1", " X-Tone: 1", "X-Tone: \u0001")) {
      answers.add(
          FIRST + SIGNED + CODING + "\r\n14\r\n" + BODY + "\r\n0\r\n" + trailer + "\r\n\r\n");
    }
    answers.add(
        "HTTP/1.1 103 Early\r\nX Tone: 1\r\n\r\n" + FIRST + SIGNED + LENGTH + "\r\n" + BODY);
    answers.add(FIRST + SIGNED + "Connection: T-Signed\r\n" + LENGTH + "\r\n" + BODY);
    return answers.stream();
  }

  private static String sound() {
    return FIRST + SIGNED + LENGTH + "\r\n" + BODY;
  }

  private static String soundStream() {
    return FIRST + SIGNED + EVENTS + CODING + "\r\n" + ScriptedUpstream.EVENTS + "0\r\n\r\n";
  }

  /** Sends a request to the first of these upstreams, each of which answers once. */
  private static HttpResponse<String> send(String path, String... answers) throws IOException {
    List<ScriptedUpstream> upstreams = new ArrayList<>();
    try (RunningGateway running = new RunningGateway()) {
      running.makeFleetKnown();
      for (String answer : answers) {
        upstreams.add(new ScriptedUpstream(answer));
      }
      running.serve(upstreams, "");
      return running.sendLater(path, "", WAIT_MILLIS).orTimeout(10, TimeUnit.SECONDS).join();
    } finally {
      for (ScriptedUpstream upstream : upstreams) {
        upstream.close();
      }
    }
  }

  /** Returns the answers, on a kept connection and on one that ends, that fail a check. */
  private static List<String> failing(Stream<String> answers, Check check) {
    return answers
        .flatMap(answer -> Stream.of(answer, answer + ScriptedUpstream.RESET))
        .parallel()
        .filter(answer -> !holds(check, answer))
        .toList();
  }

  /** Checks what a caller gets for an upstream's answer. */
  @FunctionalInterface
  private interface Check {
    boolean holds(String answer) throws IOException;
  }

  private static boolean holds(Check check, String answer) {
    try {
      return check.holds(answer);
    } catch (IOException | CompletionException e) {
      return false;
    }
  }

  private static boolean isErrorOfTheDaemon(HttpResponse<String> answer) {
    return answer.statusCode() == 502
        && answer.headers().firstValue("T-Signed").isEmpty()
        && answer.body().isEmpty();
  }

  private static boolean isSound(HttpResponse<String> answer, String body) {
    return answer.statusCode() == 200
        && answer.body().equals(body)
        && answer.headers().map().keySet().stream().noneMatch(name -> name.contains("one"));
  }

  @Test
  void unsafeRequestGetsAnErrorWhetherTheConnectionIsKeptOrEnds() {
    Check check = answer -> isErrorOfTheDaemon(send("/unsafe/", answer, sound()));
    assertThat(failing(spoiltAnswers(), check)).isEmpty();
  }

  @Test
  void safeRequestIsServedElsewhere() {
    Check check = answer -> isSound(send("/safe/", answer, sound()), BODY);
    assertThat(failing(spoiltAnswers(), check)).isEmpty();
  }

  /** Streams whose head is spoilt, before their first event. */
  static Stream<String> spoiltStreams() {
    List<String> answers = new ArrayList<>();
    String chunks = ScriptedUpstream.EVENTS + "0\r\n\r\n";
    for (String line : spoiltLines()) {
      answers.add(FIRST + SIGNED + EVENTS + line + "\r\n" + CODING + "\r\n" + chunks);
    }
    for (String line : spoiltCodings()) {
      answers.add(FIRST + SIGNED + EVENTS + line + "\r\n\r\n" + chunks);
    }
    for (String line : spoiltFirstLines()) {
      answers.add(line + "\r\n" + SIGNED + EVENTS + CODING + "\r\n" + chunks);
    }
    return answers.stream();
  }

  @Test
  void streamIsServedElsewhere() {
    Check check = answer -> isSound(send("/stream/", answer, soundStream()), ALL_EVENTS);
    assertThat(failing(spoiltStreams(), check)).isEmpty();
  }

  @Test
  void streamWithoutAnotherUpstreamGetsAnError() {
    Check check = answer -> isErrorOfTheDaemon(send("/stream/", answer));
    assertThat(failing(spoiltStreams(), check)).isEmpty();
  }

  /** A chunk whose size is spoilt in the middle of a stream: the rest comes from elsewhere. */
  @ParameterizedTest
  @ValueSource(strings = {"+f", "f h", "", "0xf", "f\u0001"})
  void streamGoesOnElsewhereBehindASpoiltChunk(String size) throws IOException {
    String event = "id: 1\ndata: 1\n\n";
    String begun =
        FIRST
            + SIGNED
            + EVENTS
            + CODING
            + "\r\nf\r\n"
            + event
            + "\r\n"
            + size
            + "\r\n"
            + event.replace('1', '2')
            + "\r\n0\r\n\r\n";
    HttpResponse<String> got = send("/stream/", begun, soundStream());
    assertThat(got.body()).isEqualTo(ALL_EVENTS);
  }

  /** Promises and signals in spoilt heads: an order would run twice, or a node be left alone. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "T-Not-Run : 1",
        "T-Not-Run: 1\r\nX Tone: 1",
        "T-Not-Run: 1\r\n X-Tone: 1",
        "T-Not-Run: 1\r\nT-Leaving : 1"
      })
  void promiseInASpoiltHeadIsNotBelieved(String lines) throws IOException {
    String answer = "HTTP/1.1 503 Full\r\nT-Id: <id>\r\n" + lines + "\r\nContent-Length: 0\r\n\r\n";
    assertThat(isErrorOfTheDaemon(send("/unsafe/", answer, sound()))).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"T-Leaving : 1", "T-Rest-Ms: 60000\r\nX Tone: 1", "T-Limit: 0\r\n X: 1"})
  void signalInASpoiltHeadIsNotBelieved(String lines) throws IOException {
    String spoilt = FIRST + SIGNED + lines + "\r\n" + LENGTH + "\r\n" + BODY;
    try (RunningGateway running = new RunningGateway();
        ScriptedUpstream upstream = new ScriptedUpstream(spoilt, sound(), sound())) {
      running.makeFleetKnown();
      running.serve(List.of(upstream), "");
      assertThat(running.sendLater("/unsafe/", "", WAIT_MILLIS).join().statusCode()).isEqualTo(502);
      assertThat(running.sendLater("/unsafe/", "", WAIT_MILLIS).join().statusCode()).isEqualTo(200);
    }
  }

  /** What is unusual, but by the grammar. */
  static Stream<String> soundAnswers() {
    String tenLines = "X-More: of the same\r\n".repeat(10);
    return Stream.of(
        "HTTP/1.0 200 OK\r\n" + SIGNED + LENGTH + "\r\n" + BODY,
        "HTTP/1.0 200 OK\r\n" + SIGNED + "\r\n" + BODY + ScriptedUpstream.RESET,
        "HTTP/1.1 200\r\n" + SIGNED + LENGTH + "\r\n" + BODY,
        "HTTP/1.1 200 \r\n" + SIGNED + LENGTH + "\r\n" + BODY,
        "HTTP/1.1 200  two blanks (of a reason)\r\n" + SIGNED + LENGTH + "\r\n" + BODY,
        FIRST + SIGNED + "\r\n" + BODY + ScriptedUpstream.RESET,
        FIRST + SIGNED + "Content-Length:\t 20 \r\n\r\n" + BODY,
        FIRST + SIGNED + "content-length:0020\r\n\r\n" + BODY,
        FIRST.replace("\r", "") + (SIGNED + LENGTH).replace("\r", "") + "\n" + BODY,
        FIRST + SIGNED + "TRANSFER-ENCODING: Chunked\r\n\r\n" + CHUNKS,
        FIRST + SIGNED + CODING + "\r\n14;a=1;b=\"c d\"\r\n" + BODY + "\r\n0;end\r\n\r\n",
        FIRST + SIGNED + CODING + "\r\n0014 \r\n" + BODY + "\r\n000\r\nT-End: 1\r\nX:\r\n\r\n",
        FIRST + SIGNED + tenLines + "X-Empty:\r\n!#$%&'*+-.^_`|~: 1\r\n" + LENGTH + "\r\n" + BODY,
        FIRST + SIGNED + "X-List: " + "a, ".repeat(1_000) + "b\r\n" + LENGTH + "\r\n" + BODY,
        FIRST + SIGNED + "Connection: close, close\r\n" + LENGTH + "\r\n" + BODY,
        FIRST + SIGNED + "Connection: X-Hop\r\nX-Hop: 1\r\n" + LENGTH + "\r\n" + BODY,
        FIRST + SIGNED + "Keep-Alive: timeout=99999999999999999999\r\n" + LENGTH + "\r\n" + BODY,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nX-Tone: 1\r\n\r\n"
            + FIRST
            + SIGNED
            + LENGTH
            + "\r\n"
            + BODY);
  }

  @ParameterizedTest
  @MethodSource("soundAnswers")
  void unusualButSoundAnswerIsPassedOn(String answer) throws IOException {
    HttpResponse<String> got = send("/unsafe/", answer);
    assertThat(got.statusCode()).isEqualTo(200);
    assertThat(got.body()).isEqualTo(BODY);
    assertThat(got.headers().firstValue("T-Signed")).contains("3e1b.07.5a2.600");
  }
}
