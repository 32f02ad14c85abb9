package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against prompt parts that crash each upstream that begins to answer them. */
class CrashingPromptPartsTest {

  private static final int UPSTREAMS = 40;

  /** Crashes after which requests with the part must stop, and those that may still be sent. */
  private static final int MAX_SENT = 5 + 3;

  private static final int REQUESTS = 30;
  private static final int OK = 200;
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String ANSWER = HEAD + ScriptedUpstream.EVENTS + "0\r\n\r\n";

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

  private void startUpstreamsCrashedBy(String... deadly) throws IOException {
    Set<String> crashing = Set.of(deadly);
    for (int number = 0; number < UPSTREAMS; number++) {
      upstreams.add(
          new ScriptedUpstream(
              head -> holdsAny(head, crashing) ? HEAD + ScriptedUpstream.EXIT : ANSWER));
    }
    running.serve(upstreams, "");
  }

  private static boolean holdsAny(Map<String, String> head, Set<String> parts) {
    return List.of(parts(head)).stream().anyMatch(parts::contains);
  }

  private static String[] parts(Map<String, String> head) {
    return head.getOrDefault("t-parts", "").split(",");
  }

  private int send(String parts, int number) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + running.port() + "/stream/"))
            .header("T-Id", "r" + number)
            .header("T-Parts", parts)
            .header("Authorization", "Key secret")
            .POST(HttpRequest.BodyPublishers.ofString("body " + number))
            .build();
    try {
      return java.net.http.HttpClient.newHttpClient()
          .send(request, HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  private long sent(String part) {
    return upstreams.stream()
        .flatMap(upstream -> upstream.requests().stream())
        .filter(head -> List.of(parts(head)).contains(part))
        .count();
  }

  @Test
  void differentRequestsWithACrashingPartAreNoLongerSent() throws Exception {
    startUpstreamsCrashedBy("bad");
    for (int number = 0; number < REQUESTS; number++) {
      send("first" + number % 3 + ",bad", number);
    }
    assertThat(sent("bad")).isLessThanOrEqualTo(MAX_SENT);
  }

  @Test
  void differentRequestsWithACrashingFirstPartAreNoLongerSent() throws Exception {
    startUpstreamsCrashedBy("bad");
    for (int number = 0; number < REQUESTS; number++) {
      send("bad,second" + number % 3, number);
    }
    assertThat(sent("bad")).isLessThanOrEqualTo(MAX_SENT);
  }

  @Test
  void partThatHasBeenAnsweredBeforeIsNoLongerSentOnceItCrashesUpstreams() throws Exception {
    Set<String> crashing = java.util.concurrent.ConcurrentHashMap.newKeySet();
    for (int number = 0; number < UPSTREAMS; number++) {
      upstreams.add(
          new ScriptedUpstream(
              head -> holdsAny(head, crashing) ? HEAD + ScriptedUpstream.EXIT : ANSWER));
    }
    running.serve(upstreams, "");
    assertThat(send("common,second", 0)).isEqualTo(OK);
    crashing.add("common");
    for (int number = 1; number < REQUESTS; number++) {
      send("common,second" + number, number);
    }
    assertThat(sent("common") - 1).isLessThanOrEqualTo(MAX_SENT);
  }

  @Test
  void severalCrashingPartsAtATimeAreNoLongerSent() throws Exception {
    startUpstreamsCrashedBy("bad0", "bad1", "bad2");
    for (int number = 0; number < 2 * REQUESTS; number++) {
      send("common,bad" + number % 3, number);
    }
    for (int part = 0; part < 3; part++) {
      assertThat(sent("bad" + part)).isLessThanOrEqualTo(MAX_SENT);
    }
  }

  @Test
  void soundRequestsWithTheOtherPartsAreServedBesideACrashingPart() throws Exception {
    startUpstreamsCrashedBy("bad0", "bad1");
    int served = 0;
    for (int number = 0; number < REQUESTS; number++) {
      send("common,rare,bad" + number % 2, number);
      served += send("common,own" + number, REQUESTS + number) == OK ? 1 : 0;
      served += send("rare,own" + number, 2 * REQUESTS + number) == OK ? 1 : 0;
    }
    assertThat(served).isEqualTo(2 * REQUESTS);
  }

  @Test
  void partOfARequestThatWaitsAtCrashedUpstreamsIsNotBlamed() throws Exception {
    List<String> script =
        new ArrayList<>(
            List.of(
                ScriptedUpstream.EXIT,
                ScriptedUpstream.EXIT,
                ScriptedUpstream.EXIT,
                ScriptedUpstream.EXIT,
                ScriptedUpstream.EXIT,
                ScriptedUpstream.EXIT));
    for (int number = 0; number < UPSTREAMS; number++) {
      upstreams.add(new ScriptedUpstream(head -> script.isEmpty() ? ANSWER : script.remove(0)));
    }
    running.serve(upstreams, "");
    for (int number = 0; number < 3; number++) {
      send("waiting", number);
    }
    assertThat(send("waiting", 3)).isEqualTo(OK);
  }
}
