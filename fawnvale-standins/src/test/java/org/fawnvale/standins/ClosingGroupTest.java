package org.fawnvale.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a head that reports itself ready to be taken apart while its streams run. */
class ClosingGroupTest {

  private static final String HEAD = "head";

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private String address = "";

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path));
  }

  private JsonNode get(String path) throws IOException, InterruptedException {
    return Json.tree(
        client.send(request(path).build(), HttpResponse.BodyHandlers.ofByteArray()).body());
  }

  private int order(String operation) throws IOException, InterruptedException {
    Map<String, Object> order = new HashMap<>();
    order.put("operation", operation);
    order.put("group", "g");
    order.put("epoch", 1);
    order.put("model", UsersConfiguration.MODEL);
    order.put("members", List.of(HEAD));
    HttpRequest request =
        request("/v1/order")
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(order)))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
  }

  private String state() throws IOException, InterruptedException {
    return get("/v1/report").path("group").path("state").asText();
  }

  private void awaitState(String expected) throws IOException, InterruptedException {
    long until = System.nanoTime() + 20_000_000_000L;
    while (!state().equals(expected)) {
      assertThat(System.nanoTime()).as("waits for %s", expected).isLessThan(until);
      Thread.sleep(5);
    }
  }

  private HttpResponse<InputStream> startStream() throws IOException, InterruptedException {
    HttpRequest request =
        request("/stream")
            .header("X-Attempt-Id", "a1")
            .POST(HttpRequest.BodyPublishers.ofString(UsersConfiguration.LARGE_BODY_PREFIX))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofInputStream());
  }

  @Test
  void groupThatClosesIsReadyOnceItsStreamsHaveEnded() throws Exception {
    try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
      platform.addWorker(HEAD, "a");
      address = "127.0.0.1:" + platform.storePort();
      address =
          get("/v1/objects/servers").path("items").get(0).path("spec").path("address").asText();
      assertThat(order("join")).isEqualTo(202);
      awaitState("ready");
      assertThat(order("open")).isEqualTo(202);
      HttpResponse<InputStream> stream = startStream();
      assertThat(stream.statusCode()).isEqualTo(200);
      assertThat(stream.body().read()).isNotNegative();
      assertThat(order("close")).isEqualTo(202);
      assertThat(state()).isEqualTo("closing");
      assertThat(startStream().statusCode()).isEqualTo(503);
      String rest = new String(stream.body().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(rest).contains("id: " + UsersConfiguration.EVENTS);
      awaitState("ready");
    }
  }
}
