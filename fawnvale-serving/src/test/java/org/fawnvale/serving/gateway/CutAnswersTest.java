package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that the end of their connection cuts and that callers take for whole. */
class CutAnswersTest {

  private static final String SIGNED = "T-Id: r\r\nT-Signed: 3e1b.07.5a2.600\r\n";
  private static final String EVENTS = "Content-Type: text/event-stream\r\n";
  private static final String SOUND =
      "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 5\r\n\r\nsound";
  private static final String SOUND_STREAM =
      "HTTP/1.1 200 OK\r\n"
          + SIGNED
          + EVENTS
          + "Transfer-Encoding: chunked\r\n\r\n"
          + ScriptedUpstream.EVENTS
          + "0\r\n\r\n";
  private static final String ALL_EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
  private static final int WAIT_MILLIS = 20_000;

  /** Sends a request to the first of these upstreams, each of which answers once. */
  private static HttpResponse<String> answer(String path, String... answers) throws Exception {
    List<ScriptedUpstream> upstreams = new ArrayList<>();
    try (RunningGateway running = new RunningGateway()) {
      running.makeFleetKnown();
      for (String answer : answers) {
        upstreams.add(new ScriptedUpstream(answer));
      }
      running.serve(upstreams, "");
      return running.sendLater(path, "", WAIT_MILLIS).join();
    } finally {
      for (ScriptedUpstream upstream : upstreams) {
        upstream.close();
      }
    }
  }

  /** Returns all proper beginnings of a text. */
  private static List<String> cutsOf(String whole) {
    return IntStream.range(0, whole.length()).mapToObj(end -> whole.substring(0, end)).toList();
  }

  /** Returns the cuts after which a caller got something else than an error of the daemon. */
  private static List<String> cutsPassedOn(String path, String whole) throws Exception {
    List<String> passedOn = new ArrayList<>();
    for (String cut : cutsOf(whole)) {
      HttpResponse<String> answer = answer(path, cut + ScriptedUpstream.RESET);
      if (answer.statusCode() != 502 || answer.headers().firstValue("T-Signed").isPresent()) {
        passedOn.add(cut + " -> " + answer);
      }
    }
    return passedOn;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"200 OK", "204 No Content", "304 Not Modified", "500 Error", "503 Unavailable"})
  void headThatItsConnectionsEndCutsIsNotPassedOnForAnUnsafeRequest(String status)
      throws Exception {
    String head = "HTTP/1.1 " + status + "\r\n" + SIGNED + "Content-Type: text/plain\r\n\r\n";
    assertThat(cutsPassedOn("/unsafe/", head)).isEmpty();
  }

  @Test
  void answerWithALengthThatIsCutIsNotPassedOn() throws Exception {
    String answer = "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 12\r\n\r\n123456789012";
    assertThat(cutsPassedOn("/unsafe/", answer)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"T-Not-Run: 1", "T-Rest-Ms: 12000", "T-Leaving: 1"})
  void promiseOfACutHeadIsNotBelieved(String line) throws Exception {
    String head = "HTTP/1.1 503 Unavailable\r\nT-Id: r\r\nT-Not-Run: 1\r\n" + line + "\r\n\r\n";
    assertThat(cutsPassedOn("/unsafe/", head)).isEmpty();
  }

  @Test
  void headThatIsCutBehindAnInterimAnswerIsNotPassedOn() throws Exception {
    String answer = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + SIGNED + "\r\n";
    assertThat(cutsPassedOn("/unsafe/", answer)).isEmpty();
  }

  @Test
  void headThatIsCutBehindAnAnswerToAnotherRequestIsNotPassedOn() throws Exception {
    String other = "HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 0\r\n\r\n";
    assertThat(cutsPassedOn("/unsafe/", other + "HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n")).isEmpty();
  }

  @Test
  void chunkSizeOrTrailerThatIsCutDoesNotEndTheAnswer() throws Exception {
    String head = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n";
    List<String> passedOn = new ArrayList<>();
    for (String cut : cutsOf("5\r\nwhole\r\n0\r\nT-Trailer: 1\r\n\r\n")) {
      HttpResponse<String> answer = answer("/unsafe/", head + cut + ScriptedUpstream.RESET);
      if (answer.statusCode() != 502) {
        passedOn.add(cut + " -> " + answer);
      }
    }
    assertThat(passedOn).isEmpty();
  }

  @Test
  void safeRequestIsAnsweredElsewhereAfterACutHead() throws Exception {
    List<String> others = new ArrayList<>();
    for (String cut : cutsOf("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n")) {
      HttpResponse<String> answer = answer("/safe/", cut + ScriptedUpstream.RESET, SOUND);
      if (!"sound".equals(answer.body())) {
        others.add(cut + " -> " + answer);
      }
    }
    assertThat(others).isEmpty();
  }

  @Test
  void streamWhoseHeadIsCutIsServedElsewhere() throws Exception {
    List<String> wrong = new ArrayList<>();
    for (String cut : cutsOf("HTTP/1.1 200 OK\r\n" + SIGNED + EVENTS + "\r\n")) {
      HttpResponse<String> answer = answer("/stream/", cut + ScriptedUpstream.RESET, SOUND_STREAM);
      if (!ALL_EVENTS.equals(answer.body())) {
        wrong.add(cut + " -> " + answer);
      }
    }
    assertThat(wrong).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"Content-Type:", "Content-Type: text/ev", "Content-Type: text/plain"})
  void streamWhoseHeadIsCutIsNotFramedAsComplete(String lastLine) throws Exception {
    String cut = "HTTP/1.1 200 OK\r\n" + SIGNED + lastLine;
    assertThat(looksComplete(cut + ScriptedUpstream.RESET)).isFalse();
  }

  private static boolean looksComplete(String first) throws Exception {
    try {
      return answer("/stream/", first).statusCode() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }

  @Test
  void answerWithAWholeHeadStillEndsWithItsConnection() throws Exception {
    String head = "HTTP/1.1 200 OK\r\n" + SIGNED;
    HttpResponse<String> answer = answer("/unsafe/", head + "\r\nsound" + ScriptedUpstream.RESET);
    assertThat(answer.body()).isEqualTo("sound");
    assertThat(answer.headers().firstValue("T-Signed")).contains("3e1b.07.5a2.600");
  }
}
