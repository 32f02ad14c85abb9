package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers that upstreams have broken off and that callers take for whole. */
class BrokenOffAnswersTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\n";
  private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\n";
  private static final String ENDS_WITH_CONNECTION = EVENTS + "Connection: close\r\n\r\n";
  private static final String CHUNKED = EVENTS + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: 1\n\n";
  private static final String ALL_EVENTS = FIRST_EVENT + "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";

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

  private void upstream(String... responses) throws IOException {
    upstreams.add(new ScriptedUpstream(responses));
    running.serve(upstreams, "");
  }

  /** Adds the first upstream, which leaves once it has a request. */
  private void leavingUpstream(String response) throws IOException {
    upstreams.add(
        new ScriptedUpstream(
            head -> {
              running.leaveFirst();
              return response;
            }));
    running.serve(upstreams, "");
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns whether the caller of a stream gets a success that looks complete. */
  private boolean looksComplete() {
    CompletableFuture<HttpResponse<String>> answer = running.sendLater("/stream/", "", 20_000);
    return answer
        .handle((response, failure) -> failure == null && response.statusCode() == 200)
        .join();
  }

  @Test
  void streamThatEndsWithItsConnectionInsideAnEventIsNotFramedAsComplete() throws Exception {
    upstream(ENDS_WITH_CONNECTION + FIRST_EVENT + "id: 2\nda" + ScriptedUpstream.RESET);
    assertThat(looksComplete()).isFalse();
  }

  @Test
  void streamWhoseLastChunkEndsInsideAnEventIsNotFramedAsComplete() throws Exception {
    upstream(CHUNKED + chunk(FIRST_EVENT + "id: 2\nda") + LAST_CHUNK);
    assertThat(looksComplete()).isFalse();
  }

  @Test
  void streamThatEndsWithItsConnectionBeforeAnyEventIsNotFramedAsComplete() throws Exception {
    upstream(ENDS_WITH_CONNECTION + ScriptedUpstream.RESET);
    assertThat(looksComplete()).isFalse();
  }

  @Test
  void streamThatEndsInsideAnEventResumesElsewhereAfterItsLastWholeEvent() throws Exception {
    upstream(ENDS_WITH_CONNECTION + FIRST_EVENT + "id: 2\ndata: ha" + ScriptedUpstream.RESET);
    upstream(CHUNKED + ScriptedUpstream.EVENTS + LAST_CHUNK);
    assertThat(running.send("/stream/").body()).isEqualTo(ALL_EVENTS);
  }

  @Test
  void streamThatEndsBetweenEventsBecauseItsUpstreamExitsIsNotFramedAsComplete() throws Exception {
    upstream(ENDS_WITH_CONNECTION + FIRST_EVENT + ScriptedUpstream.EXIT);
    assertThat(looksComplete()).isFalse();
  }

  @Test
  void streamThatEndsBetweenEventsBecauseItsUpstreamExitsResumesElsewhere() throws Exception {
    upstream(ENDS_WITH_CONNECTION + FIRST_EVENT + ScriptedUpstream.EXIT);
    upstream(CHUNKED + ScriptedUpstream.EVENTS + LAST_CHUNK);
    assertThat(running.send("/stream/").body()).isEqualTo(ALL_EVENTS);
  }

  /** Guards against streams that the end of a leaving upstream cuts and callers take for whole. */
  @Test
  void streamThatEndsBetweenEventsBecauseALeavingUpstreamExitsIsNotFramedAsComplete()
      throws Exception {
    leavingUpstream(ENDS_WITH_CONNECTION + FIRST_EVENT + ScriptedUpstream.EXIT);
    assertThat(looksComplete()).isFalse();
  }

  @Test
  void streamThatEndsBetweenEventsBecauseALeavingUpstreamExitsResumesElsewhere() throws Exception {
    leavingUpstream(ENDS_WITH_CONNECTION + FIRST_EVENT + ScriptedUpstream.EXIT);
    upstream(CHUNKED + ScriptedUpstream.EVENTS + LAST_CHUNK);
    assertThat(running.send("/stream/").body()).isEqualTo(ALL_EVENTS);
  }

  @Test
  void answerWithoutLengthWhoseLeavingUpstreamExitsIsNotPassedOn() throws Exception {
    leavingUpstream(HEAD + "\r\nha" + ScriptedUpstream.EXIT);
    assertThat(running.send("/unsafe/").statusCode()).isEqualTo(502);
  }

  @Test
  void answerWithoutLengthWhoseUpstreamExitsIsNotPassedOn() throws Exception {
    upstream(HEAD + "\r\nha" + ScriptedUpstream.EXIT);
    assertThat(running.send("/unsafe/").statusCode()).isEqualTo(502);
  }

  /** An answer of this status has no body, so its head is all of it. */
  @Test
  void answerWithoutBodyIsPassedOnThoughItsUpstreamNoLongerListens() throws Exception {
    upstreams.add(
        new ScriptedUpstream(
            head -> {
              stopListening();
              return "HTTP/1.1 204 No Content\r\nT-Id: <id>\r\nT-Signed: s\r\n\r\n";
            }));
    running.serve(upstreams, "");
    assertThat(running.send("/unsafe/").statusCode()).isEqualTo(204);
  }

  private void stopListening() {
    try {
      upstreams.get(0).close();
      TimeUnit.MILLISECONDS.sleep(50);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void wholeStreamThatEndsWithItsConnectionIsComplete() throws Exception {
    upstream(ENDS_WITH_CONNECTION + ALL_EVENTS + ScriptedUpstream.RESET);
    assertThat(running.send("/stream/").body()).isEqualTo(ALL_EVENTS);
  }

  @Test
  void answerOfAnotherMediaTypeOnAStreamingRouteIsPassedOnWhole() throws Exception {
    String body = "{\"text\": \"whole\"}";
    upstream(HEAD + "Content-Type: application/json\r\nContent-Length: 17\r\n\r\n" + body);
    assertThat(running.send("/stream/").body()).isEqualTo(body);
  }

  @Test
  void wholeAnswerThatEndsWithItsConnectionIsPassedOn() throws Exception {
    upstream(HEAD + "\r\nwhole" + ScriptedUpstream.RESET);
    assertThat(running.send("/unsafe/").body()).isEqualTo("whole");
  }

  @Test
  void answerWithoutLengthWhoseConnectionIsResetIsNotPassedOn() throws Exception {
    upstream(HEAD + "\r\nha" + ScriptedUpstream.ABORT);
    assertThat(running.send("/unsafe/").statusCode()).isEqualTo(502);
  }
}
