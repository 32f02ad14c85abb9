package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that the process of a daemon leaves unanswered when it is stopped. */
@Timeout(60)
class StoppedProcessTest {

  private static final Path JAR =
      Path.of(System.getProperty("fawnvale.root"), "target/fawnvale.jar");
  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private static final String WORKER = "i-plain";
  private static final int PEER_PORTS = 4;
  private static final int GRACE_SECONDS = 8;
  private static final long SILENCE_MILLIS = 30_000;

  /** Behind the time from which a stopping daemon refuses new requests, 3 s. */
  private static final long LATE_MILLIS = 3_300;

  @TempDir private Path folder;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private UsersPlatformStandIn platform;
  private Process daemon;
  private int port;

  @BeforeEach
  void start() throws Exception {
    platform = UsersPlatformStandIn.start();
    platform.addPlainWorker(WORKER, "a");
    port = FreePorts.one();
    daemon = startDaemon();
    EdgeFleet.await(() -> statusNow() == 200);
  }

  @AfterEach
  void stop() {
    daemon.destroyForcibly();
    platform.close();
  }

  private Process startDaemon() throws IOException {
    Path settings = folder.resolve("edge.json");
    Files.writeString(
        settings,
        """
        {"name": "edge-1", "address": "127.0.0.1", "dataCentre": "a",
         "listen": {"frontend": "127.0.0.1:%d", "ready": "127.0.0.1:%d", "metrics": "127.0.0.1:%d"},
         "peers": {"port": %d, "seeds": []}, "store": {"address": "127.0.0.1:%d"},
         "bounds": {"stallMillis": 4000, "graceSeconds": %d, "retryRatio": 0.2, "retrySlack": 136,
                    "retryWindowSeconds": 10, "loadWindowSeconds": 5, "leavingMillis": 2000}}
        """
            .formatted(
                port,
                FreePorts.one(),
                FreePorts.one(),
                FreePorts.inARow(PEER_PORTS),
                platform.storePort(),
                GRACE_SECONDS));
    ProcessBuilder builder =
        new ProcessBuilder(JAVA, "-jar", JAR.toString(), "edge")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("edge.log").toFile());
    builder.environment().put("FAWNVALE_SETTINGS", settings.toString());
    return builder.start();
  }

  private CompletableFuture<HttpResponse<String>> send(String attempt) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + port + UsersConfiguration.SAFE_PATH + "x"))
            .header("Host", UsersConfiguration.HOST)
            .header(UsersConfiguration.ATTEMPT_HEADER, attempt)
            .header("X-Deadline-Ms", "20000")
            .header("Authorization", "Bearer " + UsersConfiguration.KEY)
            .POST(HttpRequest.BodyPublishers.ofString("prompt"))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private int statusNow() {
    try {
      return send("warm-up").join().statusCode();
    } catch (RuntimeException e) {
      return 0;
    }
  }

  @Test
  void requestsInFlightAndLateOnesGetAWholeAnswerBeforeTheProcessEnds() throws Exception {
    platform.silences().begin(List.of(WORKER), SILENCE_MILLIS);
    CompletableFuture<HttpResponse<String>> early = send("early");
    Thread.sleep(200);
    daemon.destroy();
    Thread.sleep(LATE_MILLIS);
    HttpResponse<String> late = send("late").get(5, TimeUnit.SECONDS);
    assertThat(late.statusCode()).isEqualTo(503);
    assertThat(late.headers().firstValue("Retry-After")).isPresent();
    assertThat(early).isNotDone();
    assertThat(early.get(GRACE_SECONDS, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
    assertThat(daemon.waitFor(2, TimeUnit.SECONDS)).isTrue();
    assertThat(platform.beganAt("late")).isEmpty();
  }
}
