package org.fawnvale.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Workers that were restarted don't depend on the workers that ran before. */
class RestartedWorkersTest {

  private static final Duration GENEROUS = Duration.ofSeconds(20);
  private static final String FIRST = "first";
  private static final String SECOND = "second";

  /** Sends a request over a new connection. */
  private static HttpResponse<byte[]> send(String address, String path, Object body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(GENEROUS)
            .method(
                body == null ? "GET" : "POST",
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)))
            .build();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
  }

  private static String addressOf(UsersPlatformStandIn platform, String worker) throws Exception {
    byte[] page = send("127.0.0.1:" + platform.storePort(), "/v1/objects/servers", null).body();
    for (JsonNode item : Json.tree(page).path("items")) {
      if (worker.equals(item.path("metadata").path("name").asText())) {
        return item.path("spec").path("address").asText();
      }
    }
    throw new AssertionError("The store has no entry of " + worker + ".");
  }

  private static String awaitRestart(UsersPlatformStandIn platform, String formerAddress)
      throws Exception {
    long until = System.nanoTime() + GENEROUS.toNanos();
    String address = addressOf(platform, SECOND);
    while (address.equals(formerAddress) && until - System.nanoTime() > 0) {
      Thread.sleep(20);
      address = addressOf(platform, SECOND);
    }
    assertThat(address).isNotEqualTo(formerAddress);
    return address;
  }

  @Test
  void crashOfTheWorkerThatScheduledTheFirstTaskLeavesRestartedWorkersRunning() throws Exception {
    try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
      platform.addWorker(FIRST, "a");
      platform.addWorker(SECOND, "a");
      Map<String, Object> order = Map.of("operation", "phase", "model", UsersConfiguration.MODEL);
      assertThat(send(addressOf(platform, FIRST), "/v1/order", order).statusCode()).isEqualTo(202);
      String formerAddress = addressOf(platform, SECOND);
      platform.crash(SECOND);
      String address = awaitRestart(platform, formerAddress);
      platform.crash(FIRST);
      for (int call = 0; call < 3; call++) {
        assertThat(send(address, "/v1/report", null).statusCode()).isEqualTo(200);
      }
    }
  }
}
