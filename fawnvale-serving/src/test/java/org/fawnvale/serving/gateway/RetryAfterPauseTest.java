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
 * What users saw: for nine seconds over a tenth of three kinds of request weren't served, although
 * eight of fourteen heads were nearly idle. Six heads turned every request away and asked each
 * daemon for three seconds of rest; they got up to 22 requests of one daemon in that time. Of an
 * answer that says "not run" the status alone was looked at, and nothing kept the node's wish. A
 * head that turns away within a millisecond has nothing in flight, so it was chosen first.
 *
 * <p>The evidence: 353 of 478 first tries went to the six heads, all at a load near none, while the
 * other eight answered all that reached them.
 */
class RetryAfterPauseTest {

  private static final int REQUESTS = 20;
  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String LEAVES =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nT-Leaving: 1\r\nContent-Length: 2\r\n\r\nok";

  /** Ten minutes: the rest outlasts the test. */
  private static final String WANTS_REST =
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
    running.knowFleet();
  }

  @AfterEach
  void stop() throws IOException {
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  private ScriptedUpstream node(String first, String then) throws IOException {
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

  private void askOften(String path) throws Exception {
    for (int number = 0; number < REQUESTS; number++) {
      running.ask(path);
    }
  }

  @Test
  void aNodeThatAskedForRestIsSentNothingUntilItsEnd() throws Exception {
    ScriptedUpstream resting = node(WANTS_REST, WANTS_REST);
    node(OK, OK);
    askOften("/unsafe/order");
    assertThat(resting.requests()).hasSizeLessThanOrEqualTo(1);
  }

  @Test
  void whereAllRestCallersAreRefusedAtOnceAndNoNodeIsAsked() throws Exception {
    ScriptedUpstream one = node(WANTS_REST, WANTS_REST);
    ScriptedUpstream other = node(WANTS_REST, WANTS_REST);
    askOften("/safe/sheet");
    assertThat(one.requests()).hasSize(1);
    assertThat(other.requests()).hasSize(1);
    HttpResponse<String> refused = running.ask("/safe/sheet");
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
  }

  @Test
  void aBrokenStreamDoesNotGoOnAtANodeThatRests() throws Exception {
    ScriptedUpstream resting = node(WANTS_REST, WANTS_REST);
    while (resting.requests().isEmpty()) {
      running.ask("/safe/sheet");
    }
    ScriptedUpstream breaking = node(BROKEN_STREAM, BROKEN_STREAM);
    askAndLetBreak("/stream/sheet");
    assertThat(breaking.requests()).hasSize(1);
    assertThat(resting.requests()).hasSize(1);
  }

  /** The caller gets one event and then an end that does not look complete. */
  private void askAndLetBreak(String path) throws Exception {
    try {
      running.ask(path);
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("EOF");
    }
  }

  @Test
  void aNodeThatSaysInAnAnswerThatItLeavesIsSentNothingMore() throws Exception {
    ScriptedUpstream leaving = node(LEAVES, LEAVES);
    while (leaving.requests().isEmpty()) {
      running.ask("/safe/sheet");
    }
    node(OK, OK);
    askOften("/unsafe/order");
    assertThat(leaving.requests()).hasSize(1);
  }
}
