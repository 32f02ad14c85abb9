package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against sending requests to nodes that have asked for a Retry-After pause or are leaving.
 * Such a node rejects requests at once, so it seems idle and is preferred unless the pause is kept.
 */
class RetryAfterPauseTest {

  private static final int REQUESTS = 20;
  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String LEAVING =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Leaving: 1\r\nContent-Length: 2\r\n\r\nok";

  /** Requests a pause of ten minutes, which outlasts the test. */
  private static final String REQUESTS_PAUSE =
      "HTTP/1.1 503 Full\r\nT-Id: <id>\r\nT-Not-Run: 1\r\nT-Rest-Ms: 600000\r\n"
          + "Content-Length: 0\r\n\r\n";

  private static final String BROKEN_STREAM =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n"
          + "12\r\nid: 1\ndata: 1\n\nid: \r\n"
          + ScriptedUpstream.RESET;

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

  private ScriptedUpstream startNode(String first, String then) throws IOException {
    List<String> answers = new ArrayList<>();
    answers.add(first);
    for (int number = 1; number < REQUESTS * 4; number++) {
      answers.add(then);
    }
    ScriptedUpstream upstream = new ScriptedUpstream(answers.toArray(String[]::new));
    upstreams.add(upstream);
    running.serve(upstreams, "");
    return upstream;
  }

  private void sendRepeatedly(String path) throws Exception {
    for (int number = 0; number < REQUESTS; number++) {
      running.send(path);
    }
  }

  @Test
  void pausedNodeGetsNoRequestBeforeThePauseEnds() throws Exception {
    ScriptedUpstream paused = startNode(REQUESTS_PAUSE, REQUESTS_PAUSE);
    startNode(OK, OK);
    sendRepeatedly("/unsafe/order");
    assertThat(paused.requests()).hasSizeLessThanOrEqualTo(1);
  }

  @Test
  void callersAreRefusedAtOnceWhenAllNodesArePaused() throws Exception {
    ScriptedUpstream one = startNode(REQUESTS_PAUSE, REQUESTS_PAUSE);
    ScriptedUpstream other = startNode(REQUESTS_PAUSE, REQUESTS_PAUSE);
    sendRepeatedly("/safe/sheet");
    assertThat(one.requests()).hasSize(1);
    assertThat(other.requests()).hasSize(1);
    HttpResponse<String> refused = running.send("/safe/sheet");
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
  }

  @Test
  void brokenStreamDoesNotResumeAtAPausedNode() throws Exception {
    ScriptedUpstream paused = startNode(REQUESTS_PAUSE, REQUESTS_PAUSE);
    while (paused.requests().isEmpty()) {
      running.send("/safe/sheet");
    }
    ScriptedUpstream breaking = startNode(BROKEN_STREAM, BROKEN_STREAM);
    sendIgnoringBreak("/stream/sheet");
    assertThat(breaking.requests()).hasSize(1);
    assertThat(paused.requests()).hasSize(1);
  }

  /** Sends a request whose response may break off after the first event. */
  private void sendIgnoringBreak(String path) throws Exception {
    try {
      running.send(path);
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("EOF");
    }
  }

  @Test
  void nodeThatSignalsThatItIsLeavingGetsNoFurtherRequest() throws Exception {
    ScriptedUpstream leaving = startNode(LEAVING, LEAVING);
    while (leaving.requests().isEmpty()) {
      running.send("/safe/sheet");
    }
    startNode(OK, OK);
    sendRepeatedly("/unsafe/order");
    assertThat(leaving.requests()).hasSize(1);
  }
}
