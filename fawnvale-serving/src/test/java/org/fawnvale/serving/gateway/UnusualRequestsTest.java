package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against sound callers that are refused because their requests are unusual. */
class UnusualRequestsTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String HEAD =
      "Host: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\nT-Left: 20000\r\n";
  private static final String CLOSE = "Connection: close\r\n\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private static Stream<String> requests() {
    String get = "GET /safe/ HTTP/1.1\r\n";
    String post = "POST /unsafe/ HTTP/1.1\r\n";
    return Stream.of(
        get + HEAD + CLOSE,
        "GET /safe/ HTTP/1.0\r\n" + HEAD + "\r\n",
        "\r\n\r\n" + get + HEAD + CLOSE,
        (get + HEAD + CLOSE).replace("\r\n", "\n"),
        get + HEAD.replace("Host: ", "hOST:") + CLOSE,
        get + HEAD + "X-Empty:\r\nX-Blank: \t \r\n" + CLOSE,
        get + HEAD + "X-Letters: Gr\u00c3\u00b6\u00c3\u009fe\t\u00e6\u00a3\u009a\r\n" + CLOSE,
        get + HEAD + "X-Folded: 1,\r\n 2,\r\n\t3\r\n" + CLOSE,
        get + HEAD + "!#$%&'*+-.^_`|~: 1\r\n" + CLOSE,
        get + HEAD + "X-Many: 1\r\n".repeat(300) + CLOSE,
        get + HEAD + "X-Long: " + "a, ".repeat(3_000) + "b\r\n" + CLOSE,
        get + HEAD + "Connection: close, X-Hop\r\nX-Hop: 1\r\n\r\n",
        post + HEAD + "Content-Length: 0004 \r\n" + CLOSE + "body",
        post + HEAD + CHUNKED + CLOSE + "4;a=1; b=\"c;d\"\r\nbody\r\n0;last\r\n\r\n",
        post + HEAD + CHUNKED + CLOSE + "0004 \r\nbody\r\n00\r\nX-End: 1\r\nX-Empty:\r\n\r\n",
        post + HEAD + "transfer-encoding:CHUNKED\r\n" + CLOSE + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("requests")
  void unusualButSoundRequestIsServed(String request) throws Exception {
    try (RunningGateway running = new RunningGateway();
        ScriptedUpstream upstream = new ScriptedUpstream(OK)) {
      running.makeFleetKnown();
      running.serve(List.of(upstream), "");
      String answer = RawCaller.send(running.port(), request);
      assertThat(answer).startsWith("HTTP/1.1 200").endsWith("ok");
      assertThat(upstream.requests()).hasSize(1);
    }
  }
}
