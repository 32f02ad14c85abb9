package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against spoilt answers of other daemons that are passed on or believed. */
class SpoiltAnswersOfDaemonsTest {

  private static final String HEAD = "T-Id: <id>\r\nT-Signed: s\r\n";
  private static final int WAIT_MILLIS = 20_000;

  /** The path of a daemon that leaves all requests to others. */
  private static final UpstreamPath LOST =
      new UpstreamPath() {
        @Override
        public boolean isDoubtful() {
          return true;
        }

        @Override
        public boolean isLost() {
          return true;
        }

        @Override
        public boolean isHeardElsewhere() {
          return true;
        }
      };

  private static HttpResponse<String> forwarded(String answer) throws IOException {
    String sound = "HTTP/1.1 200 OK\r\n" + HEAD + "Content-Length: 5\r\n\r\nsound";
    try (RunningGateway cutOff = new RunningGateway();
        ScriptedUpstream daemon = new ScriptedUpstream(answer, sound)) {
      cutOff.makeFleetKnown();
      cutOff.gateway().setUpstreamPath(LOST);
      cutOff.forwardTo(
          daemon.port(),
          List.of(PeerForwardingTest.message("edge-2"), PeerForwardingTest.message("edge-3")));
      HttpResponse<String> got =
          cutOff.sendLater("/unsafe/", "", WAIT_MILLIS).orTimeout(10, TimeUnit.SECONDS).join();
      assertThat(daemon.requests()).hasSize(1);
      return got;
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n" + HEAD + "X Tone: 1\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\n" + HEAD + "Content Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\n" + HEAD + " Content-Length: 3\r\n\r\nodd",
        "HTTP/1.1 600 OK\r\n" + HEAD + "Content-Length: 3\r\n\r\nodd",
        "HTTP/1.1 503 Full\r\nT-Id: <id>\r\nFawnvale-Not-Taken : full\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nT-Id: <id>\r\nX Tone: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\n" + HEAD + "Content-Length: 0\r\n\r\n"
      })
  void spoiltAnswerOrPromiseOfAnUpstreamEndsInAnError(String answer) throws IOException {
    for (String end : List.of("", ScriptedUpstream.RESET)) {
      HttpResponse<String> got = forwarded(answer + end);
      assertThat(got.statusCode()).isEqualTo(502);
      assertThat(got.headers().firstValue("T-Signed")).isEmpty();
      assertThat(got.body()).isEmpty();
    }
  }
}
