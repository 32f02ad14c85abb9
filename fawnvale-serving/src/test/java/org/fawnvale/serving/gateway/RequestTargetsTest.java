package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Guards against requests that upstreams run with another method, path or query than their callers
 * sent, or though no route allows it.
 */
class RequestTargetsTest {

  private static RunningGateway running;
  private static ScriptedUpstream upstream;

  @BeforeContainer
  static void start() throws IOException {
    running = new RunningGateway();
    upstream =
        new ScriptedUpstream(
            head -> "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 0\r\n\r\n");
    running.makeFleetKnown();
    running.serve(List.of(upstream), "");
  }

  @AfterContainer
  static void stop() throws IOException {
    running.close();
    upstream.close();
  }

  private static String request(String firstLine, String lines) {
    return firstLine
        + " HTTP/1.1\r\nT-Id: r\r\nAuthorization: Key secret\r\nT-Left: 20000\r\n"
        + lines
        + "Connection: close\r\n\r\n";
  }

  private static int status(String answer) {
    return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : 0;
  }

  /** Sends a request; returns its status and the first line that the upstream has got. */
  private static String ranAs(String firstLine, String lines) throws IOException {
    int before = upstream.requests().size();
    int status = status(RawCaller.send(running.port(), request(firstLine, lines)));
    List<Map<String, String>> requests = upstream.requests();
    return requests.size() == before
        ? String.valueOf(status)
        : status + " " + requests.get(before).get("") + " " + requests.get(before).get("host");
  }

  private static String ranAs(String firstLine) throws IOException {
    return ranAs(firstLine, "Host: localhost\r\n");
  }

  /** Targets behind a prefix that has a route: any visible byte. */
  @Provide
  Arbitrary<String> rest() {
    return Arbitraries.strings()
        .withCharRange('!', '~')
        .withCharRange((char) 0x80, (char) 0xff)
        .ofMaxLength(30);
  }

  @Property(tries = 300, seed = "9410")
  void targetReachesTheUpstreamAsItWasSent(@ForAll("rest") String rest) throws IOException {
    assertThat(ranAs("GET /safe/" + rest))
        .isEqualTo("200 GET /safe/" + rest + " HTTP/1.1 localhost");
  }

  @Property(tries = 100, seed = "9411")
  void targetWithoutARouteIsNotRun(@ForAll("rest") String rest) throws IOException {
    for (String begin : List.of("//", "/", "//old/safe/", "//u@h/safe/", "http:/safe/", "*")) {
      assertThat(ranAs("GET " + begin + "x" + rest)).isEqualTo("404");
    }
  }

  @Property(tries = 100, seed = "9412")
  void hostInTheTargetCounts(@ForAll("rest") String rest) throws IOException {
    assertThat(ranAs("GET http://localhost/safe/" + rest, "Host: other.example\r\n"))
        .isEqualTo("200 GET /safe/" + rest + " HTTP/1.1 localhost");
    assertThat(ranAs("GET HTTPS://LOCALHOST:80/safe/" + rest, "Host: localhost\r\n"))
        .isEqualTo("200 GET /safe/" + rest + " HTTP/1.1 LOCALHOST:80");
    for (String begin :
        List.of("http://other.example", "ftp://localhost", "http://", "http://u@localhost")) {
      assertThat(ranAs("GET " + begin + "/safe/" + rest)).isEqualTo("404");
    }
  }

  /** Control characters and blanks, in a method too; and other lines that are no head. */
  @Property(tries = 200, seed = "9413")
  void requestThatIsNoHttpIsRefusedAndNotRun(@ForAll("odd") String odd) throws IOException {
    assertThat(ranAs("GET /safe/a" + odd + "b")).isEqualTo("400");
    assertThat(ranAs("G" + odd + "T /safe/")).isEqualTo("400");
    assertThat(ranAs("GET /safe/", "Host: localhost\r\nX" + odd + "Tone: 1\r\n")).isEqualTo("400");
    assertThat(ranAs("GET /safe/", "Host: localhost\r\nHost: localhost\r\n")).isEqualTo("400");
  }

  @Provide
  Arbitrary<String> odd() {
    return Arbitraries.chars()
        .range('\u0000', '\u001f')
        .with('\u007f', ' ')
        .filter(character -> character != '\n' && character != '\r')
        .map(String::valueOf);
  }

  /** What follows a head that is no HTTP may be the rest of it, and is no request. */
  @Property(tries = 1)
  void nothingBehindAMalformedRequestIsRun() throws IOException {
    int before = upstream.requests().size();
    String smuggled = request("GET /safe/", "Host: localhost\r\n");
    String answer =
        RawCaller.send(
            running.port(),
            request("POST /safe/", "Host: localhost\r\nContent-Length : 3\r\n") + smuggled);
    assertThat(status(answer)).isEqualTo(400);
    assertThat(answer.split("HTTP/1.1", -1)).hasSize(2);
    assertThat(upstream.requests()).hasSize(before);
  }
}
