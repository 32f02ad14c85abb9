package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** End-to-end test with separate processes, from an operator's bundle to a caller's response. */
class WholePathTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static Fleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet = Fleet.start();
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void everyDaemonServesStreamedAndBufferedResponses() throws IOException {
    for (String daemon : fleet.local().daemons()) {
      HttpResponse<String> streamed = fleet.chat(daemon, "hello from " + daemon, 5, true);
      assertThat(streamed.statusCode()).isEqualTo(200);
      assertThat(streamed.body()).contains("hello").endsWith("data: [DONE]\n\n");

      HttpResponse<String> whole = fleet.chat(daemon, "greetings via " + daemon, 5, false);
      JsonNode answer = MAPPER.readTree(whole.body());
      assertThat(answer.at("/choices/0/message/content").asText())
          .isEqualTo("answer to: greetings via " + daemon + " ");
      assertThat(whole.headers().firstValue("Fawnvale-Outcome")).contains("answered");
    }
  }

  @Test
  void anUnsafeCallRunsOnceEvenIfRepeatedAtAnyDaemon() throws IOException {
    HttpResponse<String> first = fleet.order(fleet.daemon(Fleet.NORTH, 1), "order-1");
    HttpResponse<String> again = fleet.order(fleet.daemon(Fleet.NORTH, 1), "order-1");
    HttpResponse<String> elsewhere = fleet.order(fleet.daemon(Fleet.SOUTH, 2), "order-1");

    assertThat(first.statusCode()).isEqualTo(200);
    assertThat(again.body()).isEqualTo(first.body());
    assertThat(elsewhere.statusCode()).isEqualTo(409);
    assertThat(fleet.runs("order-1")).isEqualTo(1);
  }

  @Test
  void invalidInputIsRejectedWithARemedyAndNothingIsSent() throws IOException {
    String daemon = fleet.daemon(Fleet.NORTH, 2);
    int before = fleet.started(Fleet.NORTH) + fleet.started(Fleet.SOUTH);
    String good = "{\"model\":\"drafter\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

    refused(400, "bad_body", post(daemon, "{\"model\": "));
    refused(400, "bad_messages", post(daemon, "{\"model\":\"drafter\",\"messages\":[]}"));
    refused(404, "not_found", post(daemon, good.replace("drafter", "nothing")));
    refused(
        413,
        "body_too_large",
        post(daemon, good.replace("\"x\"", "\"" + "x".repeat(70000) + "\"")));
    refused(400, "bad_header", post(daemon, good, "Fawnvale-Deadline-Ms", "0"));
    refused(400, "bad_header", post(daemon, good, "Fawnvale-Class", "first"));
    refused(400, "bad_header", post(daemon, good, "Fawnvale-Unsafe", "perhaps"));
    refused(401, "unknown_key", unauthorised(daemon, "caller-key-of-a-stranger"));
    refused(403, "forbidden", unauthorised(daemon, "caller-key-of-nobody"));

    assertThat(fleet.started(Fleet.NORTH) + fleet.started(Fleet.SOUTH)).isEqualTo(before);
  }

  private static HttpResponse<String> post(String daemon, String body, String... header)
      throws IOException {
    HttpRequest.Builder request = fleet.request(daemon, Fleet.CHAT);
    if (header.length > 0) {
      request.header(header[0], header[1]);
    }
    return fleet.local().send(request.POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  private static HttpResponse<String> unauthorised(String daemon, String key) throws IOException {
    URI uri = fleet.local().url(daemon, Fleet.CHAT);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + key);
    return fleet.local().send(request.POST(HttpRequest.BodyPublishers.ofString("{}")));
  }

  private static void refused(int status, String code, HttpResponse<String> response)
      throws IOException {
    JsonNode error = MAPPER.readTree(response.body()).path("error");
    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(error.path("code").asText()).isEqualTo(code);
    assertThat(error.path("message").asText()).isNotBlank();
    assertThat(error.path("remedy").asText()).isNotBlank();
    assertThat(response.headers().firstValue("Fawnvale-Outcome")).contains("not-run");
  }

  /** A type that the daemon can't read once left its caller without any answer. */
  @Test
  void requestWithAnOddContentTypeIsAnswered() throws IOException {
    String chat = "{\"model\":\"drafter\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    HttpResponse<String> answer =
        post(fleet.daemon(Fleet.NORTH, 1), chat, "Content-Type", "application/json; charset=utf#8");
    assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
  }

  @Test
  void operatorsSeeTheBundleInForceAndTheWinnerOfARace() throws IOException {
    String status = fleet.command(fleet.daemon(Fleet.SOUTH, 1), "status");
    assertThat(status).contains("revision 1 (test-1)").contains("serving").contains("drafting");

    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    int code = fleet.tryCommand(printed, fleet.daemon(Fleet.SOUTH, 1), "approve", "1");
    assertThat(code).isEqualTo(1);
    assertThat(printed.toString()).contains("did '").contains("bundle status");
  }

  @Test
  void metricsCountRequestsByWorkspaceAndClass() throws IOException {
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    fleet.chat(daemon, "count me", 2, true);
    URI uri = URI.create("http://" + fleet.local().operators(daemon) + "/metrics");
    String metrics = fleet.local().send(HttpRequest.newBuilder(uri).GET()).body();
    assertThat(metrics)
        .contains("fawnvale_request_seconds_bucket{class=\"standard\",outcome=\"answered\"")
        .contains("fawnvale_first_token_seconds_count{class=\"standard\",workspace=\"counter\"}");
  }

  @Test
  void everyDaemonIsReadyForTheBalancer() throws IOException {
    List<String> daemons = fleet.local().daemons();
    assertThat(daemons).hasSize(4);
    for (String daemon : daemons) {
      HttpRequest.Builder health = HttpRequest.newBuilder(fleet.local().url(daemon, "/health"));
      assertThat(fleet.local().send(health.GET()).statusCode()).isEqualTo(200);
    }
  }
}
